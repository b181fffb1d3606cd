import {
  type StateReader,
  createCommand,
  createValueSlice,
} from '@samphireramp/kernel';

/**
 * When the newest read that reached the end of the configuration stream was sent;
 * monotonic clock, -Infinity before the first.
 */
export const CONFIGURATION_READ_AT = createValueSlice(
  'configuration-read-at',
  -Infinity,
);

/** Reports a read that reached the end of the configuration stream. */
export const CONFIGURATION_READ = createCommand<{
  /** When the read was sent; monotonic clock. */
  readonly sentAt: number;
}>('configuration-read');

/** How long ago the configuration was known to be the newest, in milliseconds. */
export function configurationAgeMillis(
  state: StateReader,
  now: number,
): number {
  return now - state.read(CONFIGURATION_READ_AT).get();
}
