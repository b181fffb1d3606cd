/** Which hosts of the system there are. */
export {
  ANNOUNCE_MILLIS,
  HOSTS,
  HOSTS_READ,
  type Host,
  type HostRecord,
  createHostsPlugin,
  hostRecordSchema,
  liveHosts,
} from './hostsPlugin';
