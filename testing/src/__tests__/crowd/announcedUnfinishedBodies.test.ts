import t from 'tap';
import {encodeAnnouncedHead} from '../../index';
import {checkStatuses, pathOfClient, playCrowd} from './crowdFixture';

const ANNOUNCED_BYTES = 262_100;
const SENT_BODY = Buffer.alloc(262_000, 'x');

// Guards against announced bodies, each within the limit, that stop just short of
// their end and together outgrow the memory of the host.
void t.test('announced bodies that stop short of their end', async t => {
  const answers = await playCrowd(t, {
    script: {
      clients: 1000,
      reads: true,
      pieces: client => [
        encodeAnnouncedHead(pathOfClient(client), ANNOUNCED_BYTES),
        SENT_BODY,
      ],
    },
  });
  checkStatuses(t, answers, ['503']);
});
