import type {ClientAccount, SiteConfiguration} from '@samphireramp/jobs';
import {
  type StateReader,
  createCommand,
  createEffect,
  createValueSlice,
} from '@samphireramp/kernel';
import type {ConfigurationKnowledge} from './admission';

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

/** The newest revision that any host is known to have decided by. */
export const NEWEST_KNOWN_REVISION = createValueSlice(
  'newest-known-revision',
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

/** Another host has decided by a revision of the configuration. */
export const REVISION_KNOWN = createCommand<{readonly revision: number}>(
  'revision-known',
);

/** Reads the configuration at once, as a newer one is known to exist. */
export const READ_CONFIGURATION_NOW = createEffect<{
  readonly revision: number;
}>('read-configuration-now');

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

/** Returns what this host knows of the configuration. */
export function configurationKnowledge(
  state: StateReader,
  now: number,
): ConfigurationKnowledge {
  return {
    configuration: state.read(SITE_CONFIGURATION).get(),
    ageMillis: configurationAgeMillis(state, now),
    newestKnownRevision: state.read(NEWEST_KNOWN_REVISION).get(),
  };
}
