import t from 'tap';
import {encodeChunk, encodeChunkedHead, repeat} from '../../index';
import {checkStatuses, pathOfClient, playCrowd} from './crowdFixture';

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
  checkStatuses(t, answers, ['413', '503']);
});
