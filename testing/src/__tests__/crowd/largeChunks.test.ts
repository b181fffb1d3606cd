import t from 'tap';
import {encodeChunk, encodeChunkedHead, repeat} from '../../index';
import {checkStatuses, pathOfClient, playCrowd} from './crowdFixture';

const CHUNK = encodeChunk('x'.repeat(62_500));
const CHUNKS = 4;

// Guards against unfinished bodies, each within the limit, that together outgrow
// the memory of the host.
void t.test('unfinished bodies in large chunks', async t => {
  const answers = await playCrowd(t, {
    script: {
      clients: 1000,
      reads: true,
      pieces: client => [
        encodeChunkedHead(pathOfClient(client)),
        ...repeat(CHUNK, CHUNKS),
      ],
    },
  });
  checkStatuses(t, answers, ['503']);
});
