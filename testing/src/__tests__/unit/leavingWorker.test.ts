import t from 'tap';
import {
  CALM,
  VirtualSite,
  buildDeclaration,
  createRandom,
  jobHasEnded,
} from '../..';

const SEED = 5;
const MARKED_AT = 10_000;
/** A leaving worker gets no new work this long after its mark. */
const GRACE_MILLIS = 3000;
const END = 40_000;
const JOBS = 60;

/** A site of one zone to which jobs come all the time. */
function buildBusySite(): VirtualSite {
  const site = new VirtualSite({
    declaration: buildDeclaration({workersInZone: 3}),
    hostsInZone: 3,
    random: createRandom(SEED),
    largestDrift: 0.01,
  });
  site.weather = {...CALM, longestDelay: 100};
  for (let index = 0; index < JOBS; index++) {
    const key = `job-${index}`;
    const request = {
      key,
      workload: 'reconciliation',
      member: 'desk',
      tasks: 2,
      input: {runMillis: 300},
    };
    const host = site.hosts[index % site.hosts.length];
    site.queue.after(2000 + index * 500, () =>
      host.call({call: 'submit', request}, 8000, () => {}),
    );
  }
  return site;
}

void t.test('a leaving worker gets no new work, and none is lost', async t => {
  t.comment(`seed ${SEED}`);
  const site = buildBusySite();
  const [leaving] = site.workers;
  const startsAfterGrace: string[] = [];
  const exchange = leaving.exchange.bind(leaving);
  leaving.exchange = request => {
    if (site.queue.now > MARKED_AT + GRACE_MILLIS) {
      startsAfterGrace.push(...request.starts.map(start => start.taskId));
    }
    return exchange(request);
  };
  site.queue.after(MARKED_AT, () => {
    leaving.model.leaving = true;
  });
  site.queue.runUntil(END, () => {});
  t.strictSame(startsAfterGrace, []);
  for (let index = 0; index < JOBS; index++) {
    const hasEnded = site.hosts.some(host => jobHasEnded(host, `job-${index}`));
    t.ok(hasEnded, `job-${index} has ended`);
  }
});
