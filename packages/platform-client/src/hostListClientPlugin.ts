import type {Kernel, Plugin} from '@samphireramp/kernel';
import {
  HOST_LIST_READ,
  HOSTS,
  type OwnIdentity,
} from '@samphireramp/membership';
import {hostListSchema} from '@samphireramp/model';
import * as z from 'zod/mini';
import {requestJson} from './requestJson';

const PERIOD_MILLIS = 3000;
const TIMEOUT_MILLIS = 2000;

/** What the client of the host list is given. */
export interface HostListClientOptions {
  readonly url: string;
  readonly self: OwnIdentity;
}

/** Reports this host to the platform's list, and reads the list. */
export function createHostListClientPlugin({
  url,
  self,
}: HostListClientOptions): Plugin {
  return kernel => {
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;

    async function step(): Promise<void> {
      await report(kernel, url, self);
      await read(kernel, url);
      if (!isStopped) {
        timer = setTimeout(() => void step(), PERIOD_MILLIS);
      }
    }

    void step();
    return () => {
      isStopped = true;
      clearTimeout(timer);
    };
  };
}

/** Takes this host off the platform's list. */
export async function leaveHostList(url: string, name: string): Promise<void> {
  await requestJson({
    url: `${url}/hosts/${name}`,
    method: 'DELETE',
    schema: z.unknown(),
    timeoutMillis: TIMEOUT_MILLIS,
  });
}

async function report(
  kernel: Kernel,
  url: string,
  {name, zone, peerAddress}: OwnIdentity,
): Promise<void> {
  const isLeaving = kernel.read(HOSTS).get(name)?.leaving ?? false;
  await requestJson({
    url: `${url}/hosts/${name}`,
    method: 'PUT',
    body: {name, zone, peerAddress, state: isLeaving ? 'leaving' : 'live'},
    schema: z.unknown(),
    timeoutMillis: TIMEOUT_MILLIS,
  });
}

async function read(kernel: Kernel, url: string): Promise<void> {
  const result = await requestJson({
    url: `${url}/hosts`,
    method: 'GET',
    schema: hostListSchema,
    timeoutMillis: TIMEOUT_MILLIS,
  });
  if (result.isOk()) {
    kernel.dispatch(HOST_LIST_READ, result.value.hosts);
  }
}
