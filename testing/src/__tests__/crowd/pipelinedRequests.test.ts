import t from 'tap';
import {DEFAULT_POLICY, repeat} from '../../index';
import {playCrowd} from './crowdFixture';

const REQUESTS_PER_PIECE = 1000;
const PIECES = 20;
const REQUEST = `GET /${DEFAULT_POLICY.name}/ HTTP/1.1\r\nhost: jobs.example\r\n\r\n`;
const PIECE = Buffer.from(REQUEST.repeat(REQUESTS_PER_PIECE));

// Guards against connections with many requests at once, and unread answers, that
// keep the host from all other callers.
void t.test('pipelined requests whose answers nobody reads', async t => {
  await playCrowd(t, {
    script: {
      clients: 100,
      reads: false,
      pieces: () => repeat(PIECE, PIECES),
    },
  });
});
