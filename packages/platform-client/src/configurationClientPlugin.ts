import {type Kernel, type Plugin, mergeUnregister} from '@samphireramp/kernel';
import {
  APPEND_CONFIGURATION,
  CONFIGURATION_READ,
  revisionInForce,
} from '@samphireramp/configuration';
import {CONFIGURATION_STREAM} from '@samphireramp/model';
import type {LogClient} from './LogClient';

const LONG_POLL_MILLIS = 5000;
const RETRY_MILLIS = 500;
const IDLE_MILLIS = 1000;

/** What the reader of the configuration stream is given. */
export interface ConfigurationClientOptions {
  readonly log: LogClient;
  /** Whether this host reads the stream for its zone now. */
  readonly isReader: () => boolean;
}

/** Follows the configuration stream while this host is its zone's reader. */
export function createConfigurationClientPlugin(
  options: ConfigurationClientOptions,
): Plugin {
  return kernel => {
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;
    let from: number | undefined;

    function again(millis: number): void {
      if (!isStopped) {
        timer = setTimeout(() => void step(), millis);
      }
    }

    async function step(): Promise<void> {
      if (!options.isReader()) {
        from = undefined;
        again(IDLE_MILLIS);
        return;
      }
      from ??= revisionInForce(kernel)?.revision ?? 0;
      again(await readOnce(kernel, options.log, from, next => (from = next)));
    }

    again(0);
    return mergeUnregister(
      () => {
        isStopped = true;
        clearTimeout(timer);
      },
      kernel.registerEffect(APPEND_CONFIGURATION, change => {
        void options.log.append(CONFIGURATION_STREAM, change);
      }),
    );
  };
}

/** Reads one page; returns the milliseconds until the next read. */
async function readOnce(
  kernel: Kernel,
  log: LogClient,
  from: number,
  advance: (next: number) => void,
): Promise<number> {
  const result = await log.read(CONFIGURATION_STREAM, from, LONG_POLL_MILLIS);
  if (result.isErr()) {
    return RETRY_MILLIS;
  }
  kernel.dispatch(CONFIGURATION_READ, {page: result.value, from});
  advance(result.value.next);
  return 0;
}
