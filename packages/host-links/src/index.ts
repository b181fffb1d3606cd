/** Calls between hosts over gRPC. */
export type {AdviseRequest} from './adviceService';
export {type HostLinks, createHostLinks, startHostServer} from './hostLinks';
