import {readFileSync} from 'node:fs';
import {basename} from 'node:path';
import yargs from 'yargs';
import {formatAccount, listAccounts} from './accountStatus';
import {CommandError, EXIT_STATUS} from './CommandError';
import {reportConfiguration} from './configurationReport';
import {readHostSettings} from './readFiles';
import {explainJob} from './explainJob';
import {type HostStatus, readHostStatus} from './hostStatus';
import {type LogLine, parseLogLines} from './logLines';

const STDIN_FD = 0;
/** Metrics in a status line, in this order. */
const STATUS_SERIES = [
  'workers',
  'runs',
  'active_jobs',
  'known_jobs',
  'job_views',
  'states_lag_records',
  'follows_journal',
];

/** Prints `value` as JSON if that is the output format, or else `text`. */
function print(format: string, text: string, value: unknown): void {
  const output = format === 'json' ? JSON.stringify(value) : text;
  process.stdout.write(`${output}\n`);
}

/** Writes one line to standard error and sets the exit status. */
function fail(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`samphireramp: ${message}\n`);
  process.exitCode =
    error instanceof CommandError ? error.exitStatus : EXIT_STATUS.failed;
}

/** Reads log files, or standard input if no file is named. */
function readLogs(paths: readonly string[]): LogLine[] {
  const files = paths.length > 0 ? paths : [undefined];
  return files.flatMap(path => {
    const text = readText(path);
    const source = path === undefined ? '-' : basename(path, '.log');
    return text.split('\n').flatMap(line => parseLogLines(line, source));
  });
}

function readText(path: string | undefined): string {
  try {
    return readFileSync(path ?? STDIN_FD, 'utf8');
  } catch (error) {
    throw new CommandError((error as Error).message, EXIT_STATUS.invalidInput);
  }
}

function explain(job: string, paths: readonly string[], format: string): void {
  const history = explainJob(job, readLogs(paths));
  if (history === undefined) {
    const message = `no log line mentions ${job}; pass the logs of all hosts`;
    throw new CommandError(message, EXIT_STATUS.failed);
  }
  const lines = history.lines.map(({at, source, event, fields}) => {
    const pairs = Object.entries(fields).map(
      ([key, value]) => `${key}=${value}`,
    );
    return `${new Date(at).toISOString()} ${source} ${event} ${pairs.join(' ')}`;
  });
  print(format, [...lines, `${job}: ${history.verdict}`].join('\n'), history);
}

async function showStatus(
  addresses: readonly string[],
  format: string,
): Promise<void> {
  const hosts = await Promise.all(addresses.map(readHostStatus));
  const values = hosts.map(host => ({
    ...host,
    values: Object.fromEntries(host.values),
    accounts: listAccounts(host.values),
  }));
  print(format, hosts.map(formatStatus).join('\n'), values);
  // More than one host that considers itself the holder is a failure, too.
  const holders = hosts.filter(({isHolder}) => isHolder).length;
  if (hosts.some(({failure}) => failure !== undefined) || holders > 1) {
    process.exitCode = EXIT_STATUS.failed;
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
  const seriesTexts = STATUS_SERIES.map(
    name => `${name}=${values.get(name) ?? 0}`,
  );
  const hostLine = `${address} ${isHolder ? 'holds the site' : 'follows'} ${seriesTexts.join(' ')}`;
  const accountLines = listAccounts(values).map(
    account => `  ${formatAccount(account)}`,
  );
  const notShown = values.get('accounts_not_shown') ?? 0;
  const restLines =
    notShown > 0 ? [`  ${notShown} more accounts, which are less busy`] : [];
  return [hostLine, ...accountLines, ...restLines].join('\n');
}

function checkSettings(path: string, format: string): void {
  const settings = readHostSettings(path);
  const {name, zone, region} = settings;
  print(format, `${path}: host ${name} in ${zone}, ${region}`, settings);
}

function showConfiguration(
  path: string,
  againstPath: string | undefined,
  format: string,
): void {
  const {text, value, exitStatus} = reportConfiguration(path, againstPath);
  print(format, text, value);
  process.exitCode = exitStatus;
}

const parser = yargs(process.argv.slice(2))
  .scriptName('samphireramp')
  .usage('$0 <command>: shows the status of hosts and the history of jobs')
  .option('output', {
    choices: ['text', 'json'] as const,
    default: 'text' as const,
    description: 'output format',
  })
  .command(
    'status <hosts..>',
    'show the status of hosts, by their metrics addresses (HOST:PORT)',
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
    "show the history and state of a job, from hosts' logs or standard input",
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
    argv => checkSettings(argv.file, argv.output),
  )
  .command(
    'check-configuration <file>',
    'check a configuration of queues, pools and accounts, offline',
    command =>
      command
        .positional('file', {type: 'string', demandOption: true})
        .option('against', {
          type: 'string',
          requiresArg: true,
          description: 'configuration file to compare it with',
        }),
    argv => showConfiguration(argv.file, argv.against, argv.output),
  )
  .demandCommand(1, 'no command given; --help lists the commands')
  .strict()
  .exitProcess(false)
  .fail((message, error) => {
    // There is a message if the arguments are wrong, also beside an error.
    throw message ? new CommandError(message, EXIT_STATUS.invalidInput) : error;
  });

try {
  await parser.parseAsync();
} catch (error) {
  fail(error);
}
