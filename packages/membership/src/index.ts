/** Live and leaving entry hosts, and who is preferred for what. */
export {
  HOSTS,
  SILENCE_MILLIS,
  holderOf,
  isAlive,
  isConfigurationReader,
  knowsZone,
  liveHosts,
  preferredHosts,
  type Host,
  type OwnIdentity,
} from './Host';
export {
  HEARTBEAT_DUE,
  HOST_LIST_READ,
  LEAVE,
  PEER_MESSAGE,
  SEND_TO_PEER,
  createMembershipPlugin,
  sendToPeer,
  type MembershipOptions,
  type OwnStatus,
} from './membershipPlugin';
export {hashText, rendezvousOrder} from './rendezvousOrder';
