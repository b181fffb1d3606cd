import {
  type Plugin,
  type StateReader,
  createCommand,
  createTableSlice,
  mergeUnregister,
} from '@samphireramp/kernel';
import * as z from 'zod/mini';

/** Interval at which a host announces itself in the log. */
export const ANNOUNCE_INTERVAL_MILLIS = 3000;
/** A host counts as live for this long after its last announcement was read. */
const HOST_TIMEOUT_MILLIS = 10_000;

/** Schema of the record in which a host announces its address and location. */
export const hostRecordSchema = z.object({
  name: z.string(),
  /** Address for calls from other hosts, as HOST:PORT. */
  address: z.string(),
  zone: z.string(),
  region: z.string(),
  /** Number of CPU cores, which may be a fraction; absent if unknown. */
  cores: z.optional(z.number()),
});

/** Address and location of a host. */
export type HostRecord = z.infer<typeof hostRecordSchema>;

/** A host and when its last announcement was read. */
export interface Host extends HostRecord {
  readonly announcementReadAt: number;
}

/** Known hosts, by name. */
export const HOSTS = createTableSlice<Host>('hosts');

/** Reports announcements of hosts read from the log. */
export const HOSTS_READ = createCommand<{readonly hosts: HostRecord[]}>(
  'hosts-read',
);

/** Keeps the hosts that have announced themselves. */
export function createHostsPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(HOSTS),
      kernel.registerCommand(HOSTS_READ, (update, {hosts}) => {
        const knownHosts = update.write(HOSTS);
        for (const host of hosts) {
          knownHosts.set(host.name, {...host, announcementReadAt: update.now});
        }
      }),
    );
}

/** Returns the hosts that have announced themselves recently. */
export function liveHosts(state: StateReader, now: number): Host[] {
  return [...state.read(HOSTS).values()].filter(
    host => now - host.announcementReadAt < HOST_TIMEOUT_MILLIS,
  );
}
