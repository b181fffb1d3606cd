/** Discovery of the hosts, which announce themselves in the log. */
export {
  ANNOUNCE_INTERVAL_MILLIS,
  HOSTS,
  HOSTS_READ,
  type Host,
  type HostRecord,
  createHostsPlugin,
  hostRecordSchema,
  liveHosts,
} from './hostsPlugin';
