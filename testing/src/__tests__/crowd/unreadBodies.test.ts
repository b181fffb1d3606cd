import t from 'tap';
import {encodeChunk, encodeChunkedHead, repeat} from '../../index';
import {checkStatuses, pathOfClient, playCrowd} from './crowdFixture';

const CHUNK = encodeChunk('x'.repeat(65_536));
const CHUNKS = 320;

// Guards against the memory of bodies that no handler reads.
for (const [name, method, path, status] of [
  ['a cancel', 'DELETE', pathOfClient(0), '200'],
  ['no route', 'POST', '/none/00000000000000aa', '404'],
]) {
  void t.test(`large bodies that nobody reads: ${name}`, async t => {
    const answers = await playCrowd(t, {
      script: {
        clients: 40,
        reads: true,
        pieces: () => [
          encodeChunkedHead(path, method),
          ...repeat(CHUNK, CHUNKS),
        ],
      },
    });
    checkStatuses(t, answers, [status, '503']);
  });
}
