import t from 'tap';
import {repeat} from '../../index';
import {playCrowd} from './crowdFixture';

const REQUESTS_PER_PIECE = 100;
const PIECES = 10;
const PIECE = Buffer.from(
  'GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(REQUESTS_PER_PIECE),
);

// Guards against large answers that are made at once and that nobody reads.
void t.test('pipelined requests for metrics whose answers nobody reads', t =>
  playCrowd(t, {
    addressOf: host => host.metricsAddress,
    script: {
      clients: 200,
      reads: false,
      pieces: () => repeat(PIECE, PIECES),
    },
  }),
);
