// Imported first: signal handlers must be registered before the libraries load.
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
import {type DaemonSettings, readDaemonSettings} from './DaemonSettings';

/** Exit status if the flags or the settings file are invalid. */
const EXIT_INVALID_SETTINGS = 2;
const LOG_FLUSH_MILLIS = 50;

/** Reads the settings and runs a host until a signal stops it. */
async function main(): Promise<void> {
  const request = await readDaemonSettings(process.argv.slice(2));
  if (request.isErr()) {
    fail(request.error.message);
    return;
  }
  if (request.value.kind === 'help') {
    process.stdout.write(`${request.value.text}\n`);
    return;
  }
  const {settings} = request.value;
  const logs = startLogs(settings);
  const host = readHostSettings(settings.nodeFile);
  if (typeof host === 'string') {
    fail(`${settings.nodeFile}: ${host}`);
    return;
  }
  await run(settings, host, logs);
}

async function run(
  daemonSettings: DaemonSettings,
  initialHostSettings: HostSettings,
  logs: LineWriter,
): Promise<void> {
  const log = createLogger('daemon');
  let hostSettings = initialHostSettings;
  const host = await createSiteHost({
    settings: () => hostSettings,
    metricsPort: daemonSettings.metricsPort,
    random: Math.random,
    droppedLogLines: logs.droppedLines,
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
    const reloadedSettings = readHostSettings(daemonSettings.nodeFile);
    if (typeof reloadedSettings === 'string') {
      log('reload-refused', {
        file: daemonSettings.nodeFile,
        detail: reloadedSettings,
      });
      return;
    }
    hostSettings = reloadedSettings;
    log('reloaded', {
      file: daemonSettings.nodeFile,
      store: reloadedSettings.storeAddress,
    });
  };
  listenToSignals(signal => (signal === 'SIGHUP' ? reload() : stop()));
}

function readHostSettings(path: string): HostSettings | string {
  try {
    return decodeHostSettings(readFileSync(path));
  } catch (error) {
    return String((error as Error).message);
  }
}

/** Writes logs to standard output in batches; drops lines rather than wait. */
function startLogs({logs, logLinesPerSecond}: DaemonSettings): LineWriter {
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
  process.exitCode = EXIT_INVALID_SETTINGS;
}

await main();
