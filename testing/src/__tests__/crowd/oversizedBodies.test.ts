import t from 'tap';
import {encodeChunk, encodeChunkedHead, repeat} from '../../index';
import {pathOfClient, playCrowd, statusesOf} from './crowdFixture';

const CHUNK = encodeChunk('x'.repeat(65_536));
const CHUNKS = 320;

// Guards against a body that is collected beyond its limit until it ends.
void t.test('bodies far over the limit that are not announced', async t => {
  const answers = await playCrowd(t, {
    script: {
      clients: 40,
      reads: true,
      pieces: client => [
        encodeChunkedHead(pathOfClient(client)),
        ...repeat(CHUNK, CHUNKS),
      ],
    },
  });
  t.strictSame(
    statusesOf(answers).filter(status => !['413', '503'].includes(status)),
    [],
  );
});
