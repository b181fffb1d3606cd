import t from 'tap';
import {encodeChunk, encodeChunkedHead, repeat} from '../../index';
import {checkStatuses, pathOfClient, playCrowd} from './crowdFixture';

const CHUNKS_PER_PIECE = 6000;
const PIECES = 10;
const PIECE = Buffer.concat([...repeat(encodeChunk('x'), CHUNKS_PER_PIECE)]);

// Guards against memory that grows with the number of chunks of a body rather
// than with its bytes.
void t.test('unfinished bodies in chunks of one byte', async t => {
  const answers = await playCrowd(t, {
    script: {
      clients: 100,
      reads: true,
      pieces: client => [
        encodeChunkedHead(pathOfClient(client)),
        ...repeat(PIECE, PIECES),
      ],
    },
  });
  checkStatuses(t, answers, ['503']);
});
