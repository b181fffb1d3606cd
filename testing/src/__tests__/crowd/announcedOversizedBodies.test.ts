import t from 'tap';
import {encodeAnnouncedHead} from '../../index';
import {pathOfClient, playCrowd, statusesOf} from './crowdFixture';

// Guards against connections that wait for bodies of which the header tells that
// they can't be accepted.
void t.test('announced bodies far over the limit', async t => {
  const answers = await playCrowd(t, {
    descriptors: 600,
    script: {
      clients: 800,
      reads: true,
      pieces: client => [
        encodeAnnouncedHead(pathOfClient(client), 2_000_000_000),
      ],
    },
  });
  t.strictSame(statusesOf(answers), ['413']);
});
