import t from 'tap';
import {
  NO_FAULT_RATES,
  type VirtualSite,
  buildSchedule,
  runSchedule,
} from '../..';

const FIRST_SEED = 1;
const RUNS = 6;

/** Broken promises over a few schedules, on sites that were weakened. */
function countViolations(weaken: (site: VirtualSite) => void): number {
  let violations = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
    const faults = {...NO_FAULT_RATES, hostPauses: 10, workerCuts: 4};
    const options = {faults, prepare: weaken};
    violations += runSchedule(buildSchedule(seed, options)).violations.length;
  }
  return violations;
}

void t.test('workers that grant everybody break the promises', async t => {
  const count = countViolations(site => {
    for (const worker of site.workers) {
      const exchange = worker.exchange.bind(worker);
      worker.exchange = request => {
        forgetLease(worker.model);
        return exchange(request);
      };
    }
  });
  t.ok(count > 0, `${count} broken promises were noticed`);
});

void t.test('workers that start late orders break the promises', async t => {
  const count = countViolations(site => {
    for (const worker of site.workers) {
      const exchange = worker.exchange.bind(worker);
      worker.exchange = request => {
        forgetLease(worker.model);
        const starts = request.starts.map(start => ({
          ...start,
          deadline: Infinity,
        }));
        return exchange({...request, starts});
      };
    }
  });
  t.ok(count > 0, `${count} broken promises were noticed`);
});

/** Takes away what makes a lease exclusive. */
function forgetLease(model: object): void {
  const inside = model as {lease: unknown; highestTerm: number};
  inside.lease = undefined;
  inside.highestTerm = 0;
}
