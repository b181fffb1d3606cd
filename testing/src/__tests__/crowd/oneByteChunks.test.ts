import t from 'tap';
import {encodeChunk, repeat} from '../../index';
import {checkStatuses, playCrowd, unfinishedBodies} from './crowdFixture';

const CHUNKS_PER_PIECE = 6000;
const PIECES = 10;
const PIECE = Buffer.concat([...repeat(encodeChunk('x'), CHUNKS_PER_PIECE)]);

// Guards against memory that grows with the number of chunks of a body rather
// than with its bytes.
void t.test('unfinished bodies in chunks of one byte', async t => {
  const answers = await playCrowd(t, {
    script: unfinishedBodies(100, PIECE, PIECES),
  });
  checkStatuses(t, answers, ['503']);
});
