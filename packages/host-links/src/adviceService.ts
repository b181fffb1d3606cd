import type {ServiceDefinition} from '@grpc/grpc-js';
import type {Advice} from '@samphireramp/dispatch';
import {pack, unpack} from 'msgpackr';
import * as z from 'zod/mini';

/** A request for advice that another host forwards to the adviser. */
export const adviseRequestSchema = z.object({
  jobId: z.string(),
  occurrence: z.number(),
  step: z.number(),
  workerIds: z.array(z.string()),
  timeoutMillis: z.number(),
});

/** The adviser's answer, as the host that asked the adviser passes it on. */
export const adviseReplySchema = z.union([
  z.object({
    kind: z.literal('answered'),
    permits: z.array(z.object({workerId: z.string(), ticket: z.string()})),
    validityMillis: z.number(),
  }),
  z.object({kind: z.literal('busy')}),
  z.object({kind: z.literal('failed'), detail: z.string()}),
]);

/** A request for advice that another host forwards to the adviser. */
export type AdviseRequest = z.infer<typeof adviseRequestSchema>;

/** The gRPC service by which hosts ask each other for advice. */
export const ADVICE_SERVICE = {
  advise: {
    path: '/samphireramp.Host/Advise',
    requestStream: false,
    responseStream: false,
    requestSerialize: (request: AdviseRequest) => pack(request),
    requestDeserialize: unpackOrUndefined,
    responseSerialize: (advice: Advice) => pack(advice),
    responseDeserialize: unpackOrUndefined,
  },
} satisfies ServiceDefinition;

/** Unpacks a message; undefined, which the schemas reject, if it is invalid. */
function unpackOrUndefined(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
