import {requestJson} from '@samphireramp/platform-client';
import * as z from 'zod/mini';

const TIMEOUT_MILLIS = 2000;

/** What an entry host tells about itself. */
export const hostStatusSchema = z.object({
  host: z.string(),
  zone: z.string(),
  revision: z.int(),
  holding: z.array(z.string()),
  hosts: z.array(
    z.object({
      name: z.string(),
      zone: z.string(),
      isAlive: z.boolean(),
      revision: z.int(),
    }),
  ),
  shards: z.array(
    z.object({
      shardId: z.string(),
      phase: z.string(),
      term: z.int(),
      isRecovered: z.boolean(),
      queued: z.int(),
    }),
  ),
  workers: z.array(
    z.object({
      worker: z.string(),
      shardId: z.string(),
      leaseMillisLeft: z.number(),
      leaving: z.boolean(),
    }),
  ),
  tasks: z.int(),
});

/** What an entry host tells about itself. */
export type HostStatus = z.infer<typeof hostStatusSchema>;

/** The answer of one host, or why there is none. */
export interface HostReport {
  readonly address: string;
  readonly status: HostStatus | undefined;
  readonly detail: string;
}

/** Asks hosts for their status. */
export function readStatuses(
  addresses: readonly string[],
): Promise<HostReport[]> {
  return Promise.all(addresses.map(readStatus));
}

async function readStatus(address: string): Promise<HostReport> {
  const result = await requestJson({
    url: `http://${address}/status`,
    method: 'GET',
    schema: hostStatusSchema,
    timeoutMillis: TIMEOUT_MILLIS,
  });
  return result.isOk()
    ? {address, status: result.value, detail: ''}
    : {address, status: undefined, detail: result.error.message};
}
