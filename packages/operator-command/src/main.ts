import {userInfo} from 'node:os';
import yargs from 'yargs';
import {CommandError, EXIT} from './CommandError';
import {
  type CommandOutput,
  applyFile,
  checkFile,
  explainJob,
  showDifference,
  showHistory,
  showStatus,
} from './commands';

const APPLY_WAIT_MILLIS = 30_000;

function createOutput(format: string): CommandOutput {
  return {
    result: (text, value) => {
      const shown = format === 'json' ? JSON.stringify(value) : text;
      process.stdout.write(`${shown}\n`);
    },
    progress: line => void process.stderr.write(`${line}\n`),
  };
}

/** Ends with one line on the error stream and a documented exit status. */
function fail(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`samphireramp: ${message}\n`);
  process.exitCode =
    error instanceof CommandError ? error.exitStatus : EXIT.failed;
}

const parser = yargs(process.argv.slice(2))
  .scriptName('samphireramp')
  .usage('$0 <command>: declares what a site runs, and shows how it stands')
  .env('SAMPHIRERAMP')
  .option('output', {
    choices: ['text', 'json'] as const,
    default: 'text' as const,
    description: 'form of the result',
  })
  .command(
    'check <file>',
    'check a declaration file, offline',
    command => command.positional('file', {type: 'string', demandOption: true}),
    argv => checkFile(argv.file, createOutput(argv.output)),
  )
  .command(
    'diff <file>',
    'show what applying a file would change',
    command =>
      command
        .positional('file', {type: 'string', demandOption: true})
        .option('log-url', {type: 'string', demandOption: true}),
    argv => showDifference(argv.file, argv.logUrl, createOutput(argv.output)),
  )
  .command(
    'apply <file>',
    'apply a file as a whole and wait until it is in force',
    command =>
      command
        .positional('file', {type: 'string', demandOption: true})
        .option('log-url', {type: 'string', demandOption: true})
        .option('author', {type: 'string', default: userInfo().username})
        .option('expect', {
          type: 'number',
          description: 'revision that must be in force',
        })
        .option('host', {
          type: 'array',
          string: true,
          default: [] as string[],
          description: 'status address of a host to wait for',
        })
        .option('wait-millis', {type: 'number', default: APPLY_WAIT_MILLIS}),
    argv =>
      applyFile(
        {
          file: argv.file,
          logUrl: argv.logUrl,
          author: argv.author,
          expected: argv.expect,
          hosts: argv.host,
          waitMillis: argv.waitMillis,
        },
        createOutput(argv.output),
      ),
  )
  .command(
    'history',
    'show who changed what, and what became of it',
    command => command.option('log-url', {type: 'string', demandOption: true}),
    argv => showHistory(argv.logUrl, createOutput(argv.output)),
  )
  .command(
    'status',
    'show hosts, shards and queues',
    command =>
      command.option('host', {
        type: 'array',
        string: true,
        demandOption: true,
        description: 'status address of a host',
      }),
    argv => showStatus(argv.host, createOutput(argv.output)),
  )
  .command(
    'explain <key>',
    'tell why a job waits',
    command =>
      command
        .positional('key', {type: 'string', demandOption: true})
        .option('caller', {
          type: 'string',
          demandOption: true,
          description: 'caller address of a host',
        }),
    argv => explainJob(argv.caller, argv.key, createOutput(argv.output)),
  )
  .completion('completion', 'print a completion script for the shell')
  .demandCommand(1, 'name a command; see --help')
  .strict()
  .fail((message, error) => {
    throw error ?? new CommandError(message, EXIT.wrongInput);
  });

try {
  await parser.parseAsync();
} catch (error) {
  fail(error);
}
