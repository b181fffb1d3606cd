import type {ServiceDefinition} from '@grpc/grpc-js';
import {
  type PeerEnvelope,
  type PeerMessage,
  peerEnvelopeSchema,
} from '@samphireramp/model';
import {pack, unpack} from 'msgpackr';
import {Err, Ok, type Result} from 'ts-results-es';

/** Tells the sender that its envelopes arrive, so that silence is noticed. */
export interface Receipt {
  /** Envelopes of this stream that arrived. */
  readonly received: number;
}

/** What came over a stream, before it is checked. */
export type RawEnvelope = unknown;

/** An envelope that is not as the schema says. */
export class EnvelopeError extends Error {
  override readonly name = 'EnvelopeError';
}

/** The one method between entry hosts: a stream of envelopes and receipts. */
export const PEER_SERVICE = {
  exchange: {
    path: '/samphireramp.Peer/Exchange',
    requestStream: true,
    responseStream: true,
    requestSerialize: (envelope: PeerEnvelope) => pack(envelope),
    requestDeserialize: (bytes: Buffer): RawEnvelope => unpackSafely(bytes),
    responseSerialize: (receipt: Receipt) => pack(receipt),
    responseDeserialize: (bytes: Buffer): Receipt => unpack(bytes),
  },
} satisfies ServiceDefinition;

/** Checks an envelope; a malformed one must never end the process. */
export function checkEnvelope(
  raw: RawEnvelope,
): Result<PeerEnvelope, EnvelopeError> {
  const parsed = peerEnvelopeSchema.safeParse(raw);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  return Err(new EnvelopeError(`${issue.path.join('.')}: ${issue.code}`));
}

/** Bytes that an envelope with these messages takes. */
export function envelopeBytes(
  from: string,
  zone: string,
  messages: PeerMessage[],
): number {
  return pack({from, zone, messages}).length;
}

function unpackSafely(bytes: Buffer): RawEnvelope {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
