import t from 'tap';
import {playCrowd} from './crowdFixture';

const UNFINISHED_HEADER = Buffer.from('POST /queue/ HTTP/1.1\r\nhost: jobs');

// Guards against callers that take the descriptors which the host needs for the
// store, the workers and other callers.
void t.test('more connections than descriptors', async t => {
  await playCrowd(t, {
    descriptors: 600,
    script: {clients: 800, reads: true, pieces: () => [UNFINISHED_HEADER]},
  });
});
