import {Err, Ok, type Result} from 'ts-results-es';
import yargs from 'yargs';
import * as z from 'zod/mini';

const ENVIRONMENT_PREFIX = 'SAMPHIRERAMP';
const DEFAULT_METRICS_PORT = 9464;
const DEFAULT_LOG_LINES_PER_SECOND = 200;
const HIGHEST_PORT = 65_535;

const siteSettingsSchema = z.object({
  /** Path of the file in which the platform describes this host. */
  nodeFile: z.string().check(z.minLength(1)),
  metricsPort: z.int().check(z.minimum(1), z.maximum(HIGHEST_PORT)),
  logLinesPerSecond: z.int().check(z.minimum(1)),
  /** Which logs are written, as the `debug` library has it. */
  logs: z.string(),
});

/** The daemon's own settings. */
export type SiteSettings = z.infer<typeof siteSettingsSchema>;

/** A setting that is missing, unknown or wrong: one line for the operator. */
export class SiteSettingsError extends Error {
  override readonly name = 'SiteSettingsError';
}

/** What was asked for on the command line. */
export type SiteSettingsRequest =
  | {readonly kind: 'settings'; readonly settings: SiteSettings}
  | {readonly kind: 'help'; readonly text: string};

/** Reads the settings from flags and, behind them, environment variables. */
export async function readSiteSettings(
  args: readonly string[],
): Promise<Result<SiteSettingsRequest, SiteSettingsError>> {
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
      description: `what the platform tells this host [${ENVIRONMENT_PREFIX}_NODE_FILE]`,
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
      description: `most log lines a second [${ENVIRONMENT_PREFIX}_LOG_LINES_PER_SECOND]`,
    })
    .option('logs', {
      type: 'string',
      requiresArg: true,
      default: 'samphireramp:*',
      description: `which logs are written [${ENVIRONMENT_PREFIX}_LOGS]`,
    })
    .fail(message => {
      failure ??= message;
    });
  const values = await parser.parseAsync([...args]);
  if (failure !== undefined) {
    return Err(new SiteSettingsError(failure));
  }
  if (values.help === true) {
    return Ok({kind: 'help', text: await parser.getHelp()});
  }
  const parsed = siteSettingsSchema.safeParse(values);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const name = String(issue.path[0]).replaceAll(
      /[A-Z]/g,
      letter => `-${letter.toLowerCase()}`,
    );
    return Err(
      new SiteSettingsError(`--${name} is missing or wrong (${issue.code})`),
    );
  }
  return Ok({kind: 'settings', settings: parsed.data});
}
