import type {IncomingMessage} from 'node:http';

/** First size of the buffer of a body; it doubles as the body grows. */
const FIRST_BUFFER_BYTES = 1024;

/** What came of reading a body. */
export type BodyOutcome =
  | {readonly kind: 'complete'; readonly text: string}
  /** It is longer than it may be; the rest is discarded. */
  | {readonly kind: 'too-large'}
  /** The connection ended before the body did. */
  | {readonly kind: 'cut-off'};

/**
 * Reads a body of at most `maxBytes` bytes into one buffer: chunks are not kept, as
 * each takes memory of its own.
 */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
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
      } else {
        grow(end);
        chunk.copy(buffer, length);
        length = end;
      }
    }

    function grow(neededBytes: number): void {
      if (neededBytes <= buffer.length) {
        return;
      }
      let bytes = Math.max(buffer.length, FIRST_BUFFER_BYTES);
      while (bytes < neededBytes) {
        bytes *= 2;
      }
      const grown = Buffer.allocUnsafeSlow(Math.min(bytes, maxBytes));
      buffer.copy(grown, 0, 0, length);
      buffer = grown;
    }

    incoming.on('data', onData);
    incoming.once('end', () =>
      finish({kind: 'complete', text: buffer.toString('utf8', 0, length)}),
    );
    incoming.once('error', () => finish({kind: 'cut-off'}));
    incoming.once('close', () => finish({kind: 'cut-off'}));
  });
}
