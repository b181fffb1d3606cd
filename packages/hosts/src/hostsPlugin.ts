import {
  type Plugin,
  type StateReader,
  createCommand,
  createTableSlice,
  mergeUnregister,
} from '@samphireramp/kernel';
import * as z from 'zod/mini';

/** A host announces itself in the log this often. */
export const ANNOUNCE_MILLIS = 3000;
/** A host that has not announced itself for this long is left out. */
const FORGET_MILLIS = 10_000;

/** Where a host is, as it announces itself. */
export const hostRecordSchema = z.object({
  name: z.string(),
  /** Where other hosts reach it, as HOST:PORT. */
  address: z.string(),
  zone: z.string(),
  region: z.string(),
});

/** Where a host is. */
export type HostRecord = z.infer<typeof hostRecordSchema>;

/** A host and when it was last heard of. */
export interface Host extends HostRecord {
  readonly heardAt: number;
}

/** Hosts by name. */
export const HOSTS = createTableSlice<Host>('hosts');

/** Announcements of hosts were read. */
export const HOSTS_READ = createCommand<{readonly hosts: HostRecord[]}>(
  'hosts-read',
);

/** Keeps the list of hosts. */
export function createHostsPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(HOSTS),
      kernel.registerCommand(HOSTS_READ, (update, {hosts}) => {
        const table = update.write(HOSTS);
        for (const host of hosts) {
          table.set(host.name, {...host, heardAt: update.now});
        }
      }),
    );
}

/** The hosts that announced themselves lately. */
export function liveHosts(state: StateReader, now: number): Host[] {
  return [...state.read(HOSTS).values()].filter(
    host => now - host.heardAt < FORGET_MILLIS,
  );
}
