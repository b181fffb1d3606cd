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
import {isRoutineEvent} from './routineEvents';

/** Exit status if the flags or the settings file are invalid. */
const EXIT_INVALID_SETTINGS = 2;
const LOG_FLUSH_INTERVAL_MILLIS = 50;

/** Parses the command line, reads the settings file and runs the host. */
async function main(): Promise<void> {
  const commandLine = await readDaemonSettings(process.argv.slice(2));
  if (commandLine.isErr()) {
    fail(commandLine.error.message);
    return;
  }
  if (commandLine.value.kind === 'help') {
    process.stdout.write(`${commandLine.value.text}\n`);
    return;
  }
  const {settings} = commandLine.value;
  const logWriter = startLogs(settings);
  const hostSettings = readHostSettings(settings.nodeFile);
  if (typeof hostSettings === 'string') {
    fail(`${settings.nodeFile}: ${hostSettings}`);
    return;
  }
  await run(settings, hostSettings, logWriter);
}

/** Runs the host until SIGINT or SIGTERM; SIGHUP reloads the settings file. */
async function run(
  daemonSettings: DaemonSettings,
  initialHostSettings: HostSettings,
  logWriter: LineWriter,
): Promise<void> {
  const log = createLogger('daemon');
  let hostSettings = initialHostSettings;
  const host = await createSiteHost({
    settings: () => hostSettings,
    metricsPort: daemonSettings.metricsPort,
    learnRunTimes: daemonSettings.learnRunTimes,
    random: Math.random,
    droppedLogLines: logWriter.droppedLines,
  });
  let isStopping = false;
  const stop = () => {
    if (!isStopping) {
      isStopping = true;
      void host.stop().then(() => {
        logWriter.close();
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

/** Returns an error message if the file is unreadable or invalid. */
function readHostSettings(path: string): HostSettings | string {
  try {
    return decodeHostSettings(readFileSync(path));
  } catch (error) {
    return String((error as Error).message);
  }
}

/** Writes logs to standard output in batches; drops lines rather than waiting. */
function startLogs({logs, logLinesPerSecond}: DaemonSettings): LineWriter {
  const writer = createLineWriter({
    write: text => void process.stdout.write(text),
    backlogBytes: () => process.stdout.writableLength,
    linesPerSecond: logLinesPerSecond,
    isRoutine: isRoutineEvent,
    now: () => performance.now(),
  });
  writeLogsTo(writer.write);
  enableLogs(logs);
  setInterval(writer.flush, LOG_FLUSH_INTERVAL_MILLIS).unref();
  return writer;
}

/** Prints an error and sets the exit status; does not end the process. */
function fail(message: string): void {
  process.stderr.write(`samphireramp-site: ${message}\n`);
  process.exitCode = EXIT_INVALID_SETTINGS;
}

await main();
