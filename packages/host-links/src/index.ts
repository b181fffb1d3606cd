/** gRPC client and server for calls between hosts. */
export type {AdviseRequest} from './adviceService';
export {type HostLinks, createHostLinks, startHostServer} from './hostLinks';
