import {REQUEST_ADVICE, ADVICE_RECEIVED} from '@samphireramp/dispatch';
import type {HostLinks} from '@samphireramp/host-links';
import {HOSTS} from '@samphireramp/hosts';
import type {Plugin} from '@samphireramp/kernel';
import type {Adviser} from '@samphireramp/platform';

/**
 * Requests advice from the adviser: through the host that the effect names, or
 * directly if that is this host or its address is unknown.
 */
export function createAdvicePlugin(
  self: string,
  adviser: Adviser,
  links: HostLinks,
): Plugin {
  return kernel =>
    kernel.registerEffect(REQUEST_ADVICE, async call => {
      const {requestId, host, step, workerIds, timeoutMillis} = call;
      const address = kernel.read(HOSTS).get(host)?.address;
      const advice =
        host === self || address === undefined
          ? await adviser(step, workerIds, timeoutMillis)
          : await links.advise(address, {
              ...step,
              workerIds: [...workerIds],
              timeoutMillis,
            });
      kernel.dispatch(ADVICE_RECEIVED, {requestId, advice});
    });
}
