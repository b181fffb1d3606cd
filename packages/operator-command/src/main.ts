import {readFileSync} from 'node:fs';
import {basename} from 'node:path';
import yargs from 'yargs';
import {CommandError, EXIT} from './CommandError';
import {checkConfiguration, checkSettings} from './checkFiles';
import {explainJob} from './explainJob';
import {type HostStatus, readStatus} from './hostStatus';
import {type LogLine, parseLogLine} from './logLines';

const STANDARD_INPUT = 0;
/** Series that a status line shows, in this order. */
const SHOWN = ['workers', 'runs', 'active_jobs', 'known_jobs', 'job_views'];

function print(format: string, text: string, value: unknown): void {
  const shown = format === 'json' ? JSON.stringify(value) : text;
  process.stdout.write(`${shown}\n`);
}

/** Ends with one line on the error stream and a documented exit status. */
function fail(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`samphireramp: ${message}\n`);
  process.exitCode =
    error instanceof CommandError ? error.exitStatus : EXIT.failed;
}

function readLogs(paths: readonly string[]): LogLine[] {
  const files = paths.length > 0 ? paths : [undefined];
  return files.flatMap(path => {
    const text = readText(path);
    const source = path === undefined ? '-' : basename(path, '.log');
    return text
      .split('\n')
      .map(line => parseLogLine(line, source))
      .filter(line => line !== undefined);
  });
}

function readText(path: string | undefined): string {
  try {
    return readFileSync(path ?? STANDARD_INPUT, 'utf8');
  } catch (error) {
    throw new CommandError((error as Error).message, EXIT.wrongInput);
  }
}

function explain(job: string, paths: readonly string[], format: string): void {
  const story = explainJob(job, readLogs(paths));
  if (story === undefined) {
    const message = `no line names ${job}: are the logs of all hosts here?`;
    throw new CommandError(message, EXIT.failed);
  }
  const lines = story.lines.map(({at, source, event, fields}) => {
    const pairs = Object.entries(fields).map(
      ([key, value]) => `${key}=${value}`,
    );
    return `${new Date(at).toISOString()} ${source} ${event} ${pairs.join(' ')}`;
  });
  print(format, [...lines, `${job}: ${story.verdict}`].join('\n'), story);
}

async function showStatus(
  addresses: readonly string[],
  format: string,
): Promise<void> {
  const hosts = await Promise.all(addresses.map(readStatus));
  const values = hosts.map(host => ({
    ...host,
    values: Object.fromEntries(host.values),
  }));
  print(format, hosts.map(formatStatus).join('\n'), values);
  const holders = hosts.filter(({isHolder}) => isHolder).length;
  if (hosts.some(({failure}) => failure !== undefined) || holders > 1) {
    process.exitCode = EXIT.failed;
  }
}

function formatStatus({
  address,
  failure,
  isHolder,
  values,
}: HostStatus): string {
  if (failure !== undefined) {
    return `${address} no answer: ${failure}`;
  }
  const shown = SHOWN.map(name => `${name}=${values.get(name) ?? 0}`);
  return `${address} ${isHolder ? 'holds the site' : 'follows'} ${shown.join(' ')}`;
}

function checkHost(path: string, format: string): void {
  const settings = checkSettings(path);
  const {name, zone, region} = settings;
  print(format, `${path}: host ${name} in ${zone}, ${region}`, settings);
}

function checkQueues(path: string, format: string): void {
  const configuration = checkConfiguration(path);
  const {revision, routes, pools} = configuration;
  const lines = routes.map(
    ({policy, pathPrefix}) =>
      `  ${policy.name} at ${pathPrefix} on ${policy.pool}, priority ${policy.priority}`,
  );
  const title = `${path}: revision ${revision}, ${routes.length} queues, ${pools.length} pools`;
  print(format, [title, ...lines].join('\n'), configuration);
}

const parser = yargs(process.argv.slice(2))
  .scriptName('samphireramp')
  .usage('$0 <command>: shows how a site stands and why a job waits')
  .option('output', {
    choices: ['text', 'json'] as const,
    default: 'text' as const,
    description: 'form of the result',
  })
  .command(
    'status <hosts..>',
    'show how hosts stand, by their metrics addresses (HOST:PORT)',
    command =>
      command.positional('hosts', {
        type: 'string',
        array: true,
        demandOption: true,
      }),
    argv => showStatus(argv.hosts, argv.output),
  )
  .command(
    'explain <job> [logs..]',
    "tell what became of a job, from hosts' logs or standard input",
    command =>
      command
        .positional('job', {type: 'string', demandOption: true})
        .positional('logs', {type: 'string', array: true}),
    argv => explain(argv.job, argv.logs ?? [], argv.output),
  )
  .command(
    'check-settings <file>',
    "check a host's settings file, offline",
    command => command.positional('file', {type: 'string', demandOption: true}),
    argv => checkHost(argv.file, argv.output),
  )
  .command(
    'check-configuration <file>',
    'check a configuration of queues and pools, offline',
    command => command.positional('file', {type: 'string', demandOption: true}),
    argv => checkQueues(argv.file, argv.output),
  )
  .demandCommand(1, 'name a command; --help lists them')
  .strict()
  .exitProcess(false)
  .fail((message, error) => {
    throw error ?? new CommandError(message, EXIT.wrongInput);
  });

try {
  await parser.parseAsync();
} catch (error) {
  fail(error);
}
