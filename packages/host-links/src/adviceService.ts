import type {ServiceDefinition} from '@grpc/grpc-js';
import type {Advice} from '@samphireramp/dispatch';
import {pack, unpack} from 'msgpackr';
import * as z from 'zod/mini';

/** A call for advice that one host makes on another's behalf. */
export const adviseRequestSchema = z.object({
  jobId: z.string(),
  occurrence: z.number(),
  step: z.number(),
  workerIds: z.array(z.string()),
  timeoutMillis: z.number(),
});

/** What the other host was told. */
export const adviseReplySchema = z.union([
  z.object({
    kind: z.literal('answered'),
    permits: z.array(z.object({workerId: z.string(), ticket: z.string()})),
    validityMillis: z.number(),
  }),
  z.object({kind: z.literal('busy')}),
  z.object({kind: z.literal('failed'), detail: z.string()}),
]);

/** A call for advice that one host makes on another's behalf. */
export type AdviseRequest = z.infer<typeof adviseRequestSchema>;

/** The one method between hosts. */
export const ADVICE_SERVICE = {
  advise: {
    path: '/samphireramp.Host/Advise',
    requestStream: false,
    responseStream: false,
    requestSerialize: (request: AdviseRequest) => pack(request),
    requestDeserialize: unpackSafely,
    responseSerialize: (advice: Advice) => pack(advice),
    responseDeserialize: unpackSafely,
  },
} satisfies ServiceDefinition;

/** Bytes that can't be read become undefined, which no schema lets through. */
function unpackSafely(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
