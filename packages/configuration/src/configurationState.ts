import type {ClientAccount, SiteConfiguration} from '@samphireramp/jobs';
import {
  type StateReader,
  createCommand,
  createValueSlice,
} from '@samphireramp/kernel';

/** The current configuration of the site; undefined until one is received. */
export const SITE_CONFIGURATION = createValueSlice<
  SiteConfiguration | undefined
>('site-configuration', undefined);

/**
 * When the newest read that reached the end of the configuration stream was sent;
 * monotonic clock, -Infinity before the first.
 */
export const CONFIGURATION_READ_AT = createValueSlice(
  'configuration-read-at',
  -Infinity,
);

/** A new configuration of the site takes effect. */
export const CONFIGURATION_IN_FORCE = createCommand<{
  readonly configuration: SiteConfiguration;
}>('configuration-in-force');

/** Reports a read that reached the end of the configuration stream. */
export const CONFIGURATION_READ = createCommand<{
  /** When the read was sent; monotonic clock. */
  readonly sentAt: number;
}>('configuration-read');

/** Returns the client accounts of the current configuration, if there is one. */
export function clientAccountsOf(
  state: StateReader,
): readonly ClientAccount[] | undefined {
  return state.read(SITE_CONFIGURATION).get()?.clientAccounts;
}

/** How long ago the configuration was known to be the newest, in milliseconds. */
export function configurationAgeMillis(
  state: StateReader,
  now: number,
): number {
  return now - state.read(CONFIGURATION_READ_AT).get();
}
