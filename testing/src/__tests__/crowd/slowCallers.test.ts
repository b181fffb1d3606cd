import {connect} from 'node:net';
import t, {type Test} from 'tap';
import {encodeChunk, encodeChunkedHead, repeat} from '../../index';
import {MAX_BODY_BYTES, pathOfClient, startLimitedSite} from './crowdFixture';

const JOB = JSON.stringify({steps: [{cpu: 1000, estimated_ms: 100}]});
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

/** A valid body as large as a body may be. */
const LARGEST_BODY = JOB.padEnd(MAX_BODY_BYTES);

/** Sends pieces with a pause after each, and returns the status of the answer. */
async function sendSlowly(
  address: string,
  pieces: Iterable<Buffer>,
  pauseMillis: number,
): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const answered = new Promise<string>((resolve, reject) => {
    socket.once('error', reject);
    socket.once('close', () => reject(new Error('no answer')));
    socket.once('data', bytes => resolve(bytes.toString().split(' ')[1]));
  });
  for (const piece of pieces) {
    socket.write(piece);
    await new Promise(resolve => {
      setTimeout(resolve, pauseMillis);
    });
  }
  const status = await answered;
  socket.destroy();
  return status;
}

async function checkAccepted(
  t: Test,
  pieces: Iterable<Buffer>,
  pauseMillis: number,
): Promise<void> {
  const {host} = await startLimitedSite(t);
  const status = await sendSlowly(host.callerAddress, pieces, pauseMillis);
  t.equal(status, '200');
}

// Guard against limits that turn away a request which keeps to all limits.
void t.test('a body that takes four seconds', t =>
  checkAccepted(
    t,
    [
      encodeChunkedHead(pathOfClient(0)),
      ...[...JOB].map(character => encodeChunk(character)),
      LAST_CHUNK,
    ],
    4000 / JOB.length,
  ),
);

void t.test('the largest body in chunks of one byte', t => {
  const chunks = [...LARGEST_BODY].map(character => encodeChunk(character));
  return checkAccepted(
    t,
    [encodeChunkedHead(pathOfClient(0)), Buffer.concat(chunks), LAST_CHUNK],
    0,
  );
});

void t.test('the largest body in large chunks', t =>
  checkAccepted(
    t,
    [
      encodeChunkedHead(pathOfClient(0)),
      ...repeat(encodeChunk(''.padEnd(65_536)), 3),
      encodeChunk(JOB.padEnd(65_536)),
      LAST_CHUNK,
    ],
    1,
  ),
);
