import t from 'tap';
import {encodeChunk, startCrowd, waitForHolder} from '../../index';
import {
  CROWD_MILLIS,
  checkMemory,
  checkServes,
  startLimitedSite,
  unfinishedBodies,
} from './crowdFixture';

const CLIENTS_PER_HOST = 1000;
const CHUNK = encodeChunk('x'.repeat(62_500));
const CHUNKS = 4;
const TAKE_OVER_MILLIS = 60_000;

// Guards against a host that can't take over the site while a crowd holds what it may.
void t.test('the holder is killed while a crowd is at all hosts', async t => {
  const {platform, site, host: holder} = await startLimitedSite(t, {hosts: 3});
  for (const host of site.hosts) {
    const crowd = await startCrowd(
      host.callerAddress,
      unfinishedBodies(CLIENTS_PER_HOST, CHUNK, CHUNKS),
    );
    t.teardown(crowd.close);
    await crowd.finish(CROWD_MILLIS);
  }
  holder.process.kill('SIGKILL');
  await holder.ended;
  const others = site.hosts.filter(host => host !== holder);
  const successor = await waitForHolder(
    {...site, hosts: others},
    TAKE_OVER_MILLIS,
  );
  t.ok(successor, 'another host is the holder');
  for (const host of others) {
    await checkServes(t, {platform, host});
    checkMemory(t, host);
  }
});
