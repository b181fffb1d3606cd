import t from 'tap';
import {encodeChunk} from '../../index';
import {checkStatuses, playCrowd, unfinishedBodies} from './crowdFixture';

const CHUNK = encodeChunk('x'.repeat(62_500));
const CHUNKS = 4;

// Guards against unfinished bodies, each within the limit, that together outgrow
// the memory of the host.
void t.test('unfinished bodies in large chunks', async t => {
  const answers = await playCrowd(t, {
    script: unfinishedBodies(1000, CHUNK, CHUNKS),
  });
  checkStatuses(t, answers, ['503']);
});
