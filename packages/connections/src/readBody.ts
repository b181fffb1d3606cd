import type {IncomingMessage} from 'node:http';

/** What came of reading a body. */
export type BodyOutcome =
  | {readonly kind: 'complete'; readonly text: string}
  /** It is longer than it may be; the rest is discarded. */
  | {readonly kind: 'too-large'}
  /** The connection ended before the body did. */
  | {readonly kind: 'cut-off'};

/**
 * Reads a body of at most `maxBytes` bytes.
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
    const chunks: Buffer[] = [];
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
      chunks.length = 0;
      resolve(outcome);
    }

    function onData(chunk: Buffer): void {
      const end = length + chunk.length;
      if (end > maxBytes) {
        finish({kind: 'too-large'});
      } else {
        chunks.push(chunk);
        length = end;
      }
    }

    incoming.on('data', onData);
    incoming.once('end', () =>
      finish({kind: 'complete', text: Buffer.concat(chunks).toString()}),
    );
    incoming.once('error', () => finish({kind: 'cut-off'}));
    incoming.once('close', () => finish({kind: 'cut-off'}));
  });
}
