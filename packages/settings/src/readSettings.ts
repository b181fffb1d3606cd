import {Err, Ok, type Result} from 'ts-results-es';
import yargs from 'yargs';
import type * as core from 'zod/v4/core';
import {
  ENTRY_SETTINGS,
  type EntrySettings,
  entrySettingsSchema,
} from './EntrySettings';

/** The prefix of the environment variables. */
export const ENVIRONMENT_PREFIX = 'SAMPHIRERAMP';

/** A setting that is missing, unknown or wrong: one line for the operator. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** What was asked for on the command line. */
export type SettingsRequest =
  | {readonly kind: 'settings'; readonly settings: EntrySettings}
  | {readonly kind: 'help'; readonly text: string};

/** Reads settings from flags and, behind them, environment variables. */
export async function readEntrySettings(
  args: readonly string[],
): Promise<Result<SettingsRequest, SettingsError>> {
  const parser = createParser();
  let failure: string | undefined;
  parser.fail(message => {
    failure ??= message;
  });
  const values = await parser.parseAsync([...args]);
  if (failure !== undefined) {
    return Err(new SettingsError(failure));
  }
  if (values.help === true) {
    return Ok({kind: 'help', text: await parser.getHelp()});
  }
  return checkSettings(values);
}

function createParser() {
  let parser = yargs()
    .scriptName('samphireramp-entry')
    .usage('$0: schedules work of callers onto the workers of a site')
    .env(ENVIRONMENT_PREFIX)
    .parserConfiguration({
      'camel-case-expansion': false,
      'duplicate-arguments-array': false,
    })
    .help(false)
    .version(false)
    .exitProcess(false)
    .option('help', {type: 'boolean', description: 'show this help'})
    .strictOptions();
  for (const {flag, description, isList} of ENTRY_SETTINGS) {
    parser = parser.option(flag, {
      type: isList === true ? 'array' : 'string',
      string: true,
      requiresArg: true,
      description: `${description} [${variableOf(flag)}]`,
    });
  }
  return parser;
}

function checkSettings(
  values: Readonly<Record<string, unknown>>,
): Result<SettingsRequest, SettingsError> {
  const given = ENTRY_SETTINGS.filter(
    ({flag}) => values[flag] !== undefined,
  ).map(({flag, key}) => [key, values[flag]] as const);
  const candidate: Record<string, unknown> = Object.fromEntries(given);
  if (typeof candidate['peers'] === 'string') {
    candidate['peers'] = candidate['peers'].split(',');
  }
  const parsed = entrySettingsSchema.safeParse(candidate);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return Err(new SettingsError(describe(issue, candidate)));
  }
  return checkTls(parsed.data);
}

function checkTls(
  settings: EntrySettings,
): Result<SettingsRequest, SettingsError> {
  const files = [
    settings.tlsCertificate,
    settings.tlsKey,
    settings.tlsAuthority,
  ];
  const given = files.filter(file => file !== undefined).length;
  if (given !== 0 && given !== files.length) {
    const message =
      'tls-certificate, tls-key and tls-authority go together: give all or none';
    return Err(new SettingsError(message));
  }
  return Ok({kind: 'settings', settings});
}

function describe(
  issue: core.$ZodIssue,
  candidate: Readonly<Record<string, unknown>>,
): string {
  const [key] = issue.path;
  const setting = ENTRY_SETTINGS.find(item => item.key === key);
  if (setting === undefined) {
    return issue.message;
  }
  const value = candidate[setting.key];
  const flag = `--${setting.flag} (${variableOf(setting.flag)})`;
  return value === undefined
    ? `${flag} is missing: ${setting.description}`
    : `${flag} is ${JSON.stringify(value)}: expected ${setting.description}`;
}

function variableOf(flag: string): string {
  return `${ENVIRONMENT_PREFIX}_${flag.toUpperCase().replaceAll('-', '_')}`;
}
