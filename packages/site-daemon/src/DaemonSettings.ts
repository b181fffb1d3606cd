import {Err, Ok, type Result} from 'ts-results-es';
import yargs from 'yargs';
import * as z from 'zod/mini';

const ENVIRONMENT_PREFIX = 'SAMPHIRERAMP';
const DEFAULT_METRICS_PORT = 9464;
const DEFAULT_LOG_LINES_PER_SECOND = 200;
const MAX_PORT = 65_535;

const daemonSettingsSchema = z.object({
  /** Path of the settings file that the platform writes for this host. */
  nodeFile: z.string().check(z.minLength(1)),
  metricsPort: z.int().check(z.minimum(1), z.maximum(MAX_PORT)),
  logLinesPerSecond: z.int().check(z.minimum(1)),
  /** Whether run times are learned from finished runs. */
  learnRunTimes: z.boolean(),
  /** Pattern of the logs to write, in the syntax of the `debug` library. */
  logs: z.string(),
});

/** Settings from the daemon's flags and environment variables. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;

/** A setting is missing, unknown or invalid; the message has one line. */
export class DaemonSettingsError extends Error {
  override readonly name = 'DaemonSettingsError';
}

/** The parsed command line. */
export type DaemonCommandLine =
  | {readonly kind: 'settings'; readonly settings: DaemonSettings}
  | {readonly kind: 'help'; readonly text: string};

/** Reads each setting from its flag or else its environment variable. */
export async function readDaemonSettings(
  args: readonly string[],
): Promise<Result<DaemonCommandLine, DaemonSettingsError>> {
  let failure: string | undefined;
  const parser = yargs()
    .scriptName('samphireramp-site')
    .usage("$0: schedules a site's jobs on the operators' platform")
    .env(ENVIRONMENT_PREFIX)
    .help(false)
    .version(false)
    .exitProcess(false)
    .strictOptions()
    .option('help', {type: 'boolean', description: 'show this help'})
    .option('node-file', {
      type: 'string',
      requiresArg: true,
      description: `settings file that the platform writes for this host [${ENVIRONMENT_PREFIX}_NODE_FILE]`,
    })
    .option('metrics-port', {
      type: 'number',
      requiresArg: true,
      default: DEFAULT_METRICS_PORT,
      description: `port of /metrics [${ENVIRONMENT_PREFIX}_METRICS_PORT]`,
    })
    .option('log-lines-per-second', {
      type: 'number',
      requiresArg: true,
      default: DEFAULT_LOG_LINES_PER_SECOND,
      description: `maximum log lines per second [${ENVIRONMENT_PREFIX}_LOG_LINES_PER_SECOND]`,
    })
    .option('learn-run-times', {
      type: 'boolean',
      default: true,
      description: `learn run times from finished runs, instead of using callers' estimates [${ENVIRONMENT_PREFIX}_LEARN_RUN_TIMES]`,
    })
    .option('logs', {
      type: 'string',
      requiresArg: true,
      default: 'samphireramp:*',
      description: `logs to write, as a pattern of the debug library [${ENVIRONMENT_PREFIX}_LOGS]`,
    })
    .fail(message => {
      failure ??= message;
    });
  const values = await parser.parseAsync([...args]);
  if (failure !== undefined) {
    return Err(new DaemonSettingsError(failure));
  }
  if (values.help === true) {
    return Ok({kind: 'help', text: await parser.getHelp()});
  }
  const parsed = daemonSettingsSchema.safeParse(values);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    // The flag of the setting: its name in kebab case.
    const name = String(issue.path[0]).replaceAll(
      /[A-Z]/g,
      letter => `-${letter.toLowerCase()}`,
    );
    return Err(
      new DaemonSettingsError(
        `--${name} is missing or invalid (${issue.code})`,
      ),
    );
  }
  return Ok({kind: 'settings', settings: parsed.data});
}
