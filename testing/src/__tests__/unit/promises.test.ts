import fc from 'fast-check';
import t, {type Test} from 'tap';
import {
  type FaultRates,
  NO_FAULT_RATES,
  type ScheduleOptions,
  type VirtualSite,
  buildSchedule,
  findingsOf,
  runSchedule,
} from '../..';

const SEED = 20_261_204;
const RUNS = 12;

/** Runs schedules of one kind under seeds drawn from the fixed one. */
function checkSchedules(test: Test, options: Partial<ScheduleOptions>): void {
  const runs = Number(process.env['SCHEDULE_RUNS'] ?? RUNS);
  test.comment(`seed ${SEED}, ${runs} schedules`);
  let accepted = 0;
  const property = fc.property(fc.integer({min: 1, max: 1e9}), seed => {
    const report = runSchedule(buildSchedule(seed, options));
    accepted += report.acceptedJobs;
    const findings = findingsOf(report);
    if (findings.length > 0) {
      throw new Error(`schedule ${seed}: ${findings.join('; ')}`);
    }
  });
  fc.assert(property, {seed: SEED, numRuns: runs, endOnFailure: true});
  test.ok(accepted > 0, 'work was accepted');
}

function rates(faults: Partial<FaultRates>): Partial<ScheduleOptions> {
  return {faults: {...NO_FAULT_RATES, ...faults}};
}

void t.test('no fault at all', async t => {
  checkSchedules(t, {});
});

void t.test('hosts killed and replaced', async t => {
  checkSchedules(t, rates({hostKills: 4}));
});

void t.test('hosts paused for up to four leases', async t => {
  checkSchedules(t, rates({hostPauses: 8}));
});

void t.test('hosts cut off from each other', async t => {
  checkSchedules(t, rates({hostCuts: 6}));
});

void t.test('workers restarted and out of reach', async t => {
  checkSchedules(t, rates({workerRestarts: 3, workerCuts: 8}));
});

void t.test('the log down', async t => {
  checkSchedules(t, rates({logOutages: 6, hostKills: 2}));
});

void t.test('answers of the log lost after the append took effect', async t => {
  const prepare = (site: VirtualSite) => {
    site.log.faults = {...site.log.faults, losesEvery: 2};
  };
  checkSchedules(t, {prepare, ...rates({hostKills: 3, logOutages: 2})});
});

void t.test('cancellations in waves', async t => {
  checkSchedules(t, rates({cancellations: 8, hostKills: 2}));
});

void t.test('messages late by up to two leases', async t => {
  const weather = {
    loss: 0.05,
    duplication: 0.05,
    shortestDelay: 1,
    longestDelay: 6000,
  };
  checkSchedules(t, {weather, ...rates({hostPauses: 4, workerCuts: 4})});
});

void t.test('every fault, together', async t => {
  const faults: FaultRates = {
    hostKills: 4,
    hostPauses: 6,
    hostCuts: 2,
    workerRestarts: 2,
    workerCuts: 6,
    logOutages: 2,
    cancellations: 2,
  };
  checkSchedules(t, {faults});
});
