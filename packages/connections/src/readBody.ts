import type {IncomingMessage} from 'node:http';
import type {RequestHold} from './RequestHold';

/** First size of the buffer of a body; it doubles as the body grows. */
const FIRST_BUFFER_BYTES = 1024;

/** What came of reading a body. */
export type BodyOutcome =
  | {readonly kind: 'complete'; readonly text: string}
  /** It is longer than it may be; the rest is discarded. */
  | {readonly kind: 'too-large'}
  /** There is no memory for it; it was given up. */
  | {readonly kind: 'no-memory'}
  /** The connection ended before the body did. */
  | {readonly kind: 'cut-off'};

/**
 * Reads a body of at most `maxBytes` bytes into one buffer, which the request holds
 * until it is answered: chunks are not kept, as each takes memory of its own.
 */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
  hold: RequestHold,
): Promise<BodyOutcome> {
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
    incoming.resume();
    return Promise.resolve({kind: 'too-large'});
  }
  return new Promise(resolve => {
    let buffer = Buffer.alloc(0);
    let length = 0;
    let isFinished = false;

    function finish(outcome: BodyOutcome): void {
      if (isFinished) {
        return;
      }
      isFinished = true;
      hold.onEvicted(undefined);
      incoming.off('data', onData);
      // Discards what is left of the body.
      incoming.resume();
      buffer = Buffer.alloc(0);
      resolve(outcome);
    }

    function onData(chunk: Buffer): void {
      const end = length + chunk.length;
      if (end > maxBytes) {
        finish({kind: 'too-large'});
      } else if (end > buffer.length && !grow(end)) {
        finish({kind: 'no-memory'});
      } else {
        chunk.copy(buffer, length);
        length = end;
      }
    }

    /** Returns false if there is no memory. */
    function grow(neededBytes: number): boolean {
      let bytes = Math.max(buffer.length, FIRST_BUFFER_BYTES);
      while (bytes < neededBytes) {
        bytes *= 2;
      }
      bytes = Math.min(bytes, maxBytes);
      if (!hold.hold(bytes - buffer.length)) {
        return false;
      }
      const grown = Buffer.allocUnsafeSlow(bytes);
      buffer.copy(grown, 0, 0, length);
      buffer = grown;
      return true;
    }

    hold.onEvicted(() => finish({kind: 'no-memory'}));
    incoming.on('data', onData);
    incoming.once('end', () => {
      hold.startHandling();
      finish({kind: 'complete', text: buffer.toString('utf8', 0, length)});
    });
    incoming.once('error', () => finish({kind: 'cut-off'}));
    incoming.once('close', () => finish({kind: 'cut-off'}));
  });
}
