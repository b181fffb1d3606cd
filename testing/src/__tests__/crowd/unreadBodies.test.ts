import t from 'tap';
import {encodeChunk, encodeChunkedHead, repeat} from '../../index';
import {pathOfClient, playCrowd, statusesOf} from './crowdFixture';

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
    t.strictSame(
      statusesOf(answers).filter(each => ![status, '503'].includes(each)),
      [],
    );
  });
}
