import {
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ,
  SITE_CONFIGURATION,
  configurationAgeMillis,
} from '@samphireramp/configuration';
import {type Plugin, mergeUnregister} from '@samphireramp/kernel';
import type {GaugeSample, Log, Metrics} from '@samphireramp/telemetry';

/** A configuration that was older than this before a read is logged. */
const LATE_READ_MILLIS = 2500;

/** Options of `createConfigurationObserver`. */
export interface ConfigurationObserverOptions {
  readonly metrics: Metrics;
  readonly log: Log;
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
}

/**
 * Creates the plug-in that logs and measures what a host reads of the configuration.
 * To be registered before the plug-in that keeps the configuration, as it compares a
 * read with the one before.
 */
export function createConfigurationObserver({
  metrics,
  log,
  now,
}: ConfigurationObserverOptions): Plugin {
  return kernel =>
    mergeUnregister(
      metrics.samples(() => {
        const configuration = kernel.read(SITE_CONFIGURATION).get();
        const ageMillis = configurationAgeMillis(kernel, now());
        return configuration === undefined || !Number.isFinite(ageMillis)
          ? []
          : [
              gauge('configuration_revision', configuration.revision),
              gauge('configuration_age_milliseconds', Math.round(ageMillis)),
            ];
      }),
      kernel.registerCommand(
        CONFIGURATION_IN_FORCE,
        (update, {configuration}) => {
          const previous = update.read(SITE_CONFIGURATION).get();
          log('configuration-in-force', {
            revision: configuration.revision,
            routes: configuration.routes.length,
            before: previous?.revision,
          });
        },
      ),
      kernel.registerCommand(CONFIGURATION_READ, (update, {sentAt}) => {
        metrics.time('configuration_read', update.now - sentAt);
        const ageMillis = configurationAgeMillis(update, update.now);
        if (ageMillis > LATE_READ_MILLIS && Number.isFinite(ageMillis)) {
          log('configuration-read-late', {
            ageMillis: Math.round(ageMillis),
            readMillis: Math.round(update.now - sentAt),
            revision: update.read(SITE_CONFIGURATION).get()?.revision,
          });
        }
      }),
    );
}

function gauge(name: string, value: number): GaugeSample {
  return {name, labels: {}, value};
}
