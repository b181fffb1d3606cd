import t from 'tap';
import {encodeChunk} from '../../index';
import {checkStatuses, playCrowd, unfinishedBodies} from './crowdFixture';

const CHUNK = encodeChunk('x'.repeat(65_536));
const CHUNKS = 320;

// Guards against a body that is collected beyond its limit until it ends.
void t.test('bodies far over the limit that are not announced', async t => {
  const answers = await playCrowd(t, {
    script: unfinishedBodies(40, CHUNK, CHUNKS),
  });
  checkStatuses(t, answers, ['413', '503']);
});
