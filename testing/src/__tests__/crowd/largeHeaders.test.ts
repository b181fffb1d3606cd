import t from 'tap';
import {playCrowd} from './crowdFixture';

const HEADER = Buffer.from(
  'GET /queue/ HTTP/1.1\r\nhost: jobs.example\r\n' +
    Array.from(
      {length: 15},
      (_, index) => `x-${index}: ${'x'.repeat(990)}`,
    ).join('\r\n'),
);

// Guards against the memory of unfinished headers, each within the limit of the parser.
void t.test('unfinished headers of 15 kB', async t => {
  await playCrowd(t, {
    script: {clients: 1900, reads: true, pieces: () => [HEADER]},
  });
});
