// First, so that it loads before the libraries do.
import {listenToSignals} from './signals';
import {type HostSettings, decodeHostSettings} from '@samphireramp/platform';
import {
  type LineWriter,
  createLineWriter,
  createLogger,
  enableLogs,
  writeLogsTo,
} from '@samphireramp/telemetry';
import {readFileSync} from 'node:fs';
import {createSiteHost} from './createSiteHost';
import {type SiteSettings, readSiteSettings} from './SiteSettings';

/** Exit status for settings that can't be used. */
const WRONG_SETTINGS = 2;
const LOG_FLUSH_MILLIS = 50;

/** Runs a host until it is told to stop. */
async function main(): Promise<void> {
  const read = await readSiteSettings(process.argv.slice(2));
  if (read.isErr()) {
    fail(read.error.message);
    return;
  }
  if (read.value.kind === 'help') {
    process.stdout.write(`${read.value.text}\n`);
    return;
  }
  const {settings} = read.value;
  const logs = startLogs(settings);
  const host = readNodeFile(settings.nodeFile);
  if (typeof host === 'string') {
    fail(`${settings.nodeFile}: ${host}`);
    return;
  }
  await run(settings, host, logs);
}

async function run(
  own: SiteSettings,
  first: HostSettings,
  logs: LineWriter,
): Promise<void> {
  const log = createLogger('daemon');
  let current = first;
  const host = await createSiteHost({
    settings: () => current,
    metricsPort: own.metricsPort,
    random: Math.random,
    logLinesLeftOut: logs.leftOut,
  });
  let isStopping = false;
  const stop = () => {
    if (!isStopping) {
      isStopping = true;
      void host.stop().then(() => {
        logs.flush();
        process.exit(0);
      });
    }
  };
  const reload = () => {
    const next = readNodeFile(own.nodeFile);
    if (typeof next === 'string') {
      log('reload-refused', {file: own.nodeFile, detail: next});
      return;
    }
    current = next;
    log('reloaded', {file: own.nodeFile, store: next.storeAddress});
  };
  listenToSignals(signal => (signal === 'SIGHUP' ? reload() : stop()));
}

function readNodeFile(path: string): HostSettings | string {
  try {
    return decodeHostSettings(readFileSync(path));
  } catch (error) {
    return String((error as Error).message);
  }
}

/** Logs go to standard output, gathered, and never hold up the program. */
function startLogs({logs, logLinesPerSecond}: SiteSettings): LineWriter {
  const writer = createLineWriter({
    write: text => void process.stdout.write(text),
    backlogBytes: () => process.stdout.writableLength,
    linesPerSecond: logLinesPerSecond,
    now: () => performance.now(),
  });
  writeLogsTo(writer.line);
  enableLogs(logs);
  setInterval(writer.flush, LOG_FLUSH_MILLIS).unref();
  return writer;
}

function fail(message: string): void {
  process.stderr.write(`samphireramp-site: ${message}\n`);
  process.exitCode = WRONG_SETTINGS;
}

await main();
