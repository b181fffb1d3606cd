import {JOBS} from '@samphireramp/scheduling';
import type {VirtualHost} from './VirtualHost';

/** Whether a host knows that a job has ended. */
export function jobHasEnded(host: VirtualHost, key: string): boolean {
  return host.isAlive && host.kernel.read(JOBS).get(key)?.open === 0;
}
