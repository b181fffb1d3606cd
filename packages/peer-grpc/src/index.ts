/** Messages between entry hosts over gRPC. */
export {
  createPeerGrpc,
  type PeerGrpc,
  type PeerGrpcOptions,
  type PeerKeys,
} from './peerGrpcPlugin';
export {
  EnvelopeError,
  PEER_SERVICE,
  checkEnvelope,
  envelopeBytes,
  type RawEnvelope,
  type Receipt,
} from './peerService';
