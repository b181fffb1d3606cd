import t from 'tap';
import {REGRESSION_SEEDS, runSoak} from '../../index';

const SEED = 20_261_204;

function runShortSoak(seed: number) {
  return runSoak({
    seed,
    program: 'dist/samphireramp-site.mjs',
    faultPhaseMillis: 6000,
    meanFaultIntervalMillis: 500,
    jobCount: 20,
  });
}

void t.test('a short soak violates no invariant', async t => {
  const {findings, accepted, faults} = await runShortSoak(SEED);
  t.same(findings, [], faults.join('; '));
  t.ok(accepted > 0);
});

for (const {seed, cause} of REGRESSION_SEEDS) {
  void t.test(`seed ${seed}: ${cause}`, async t => {
    const {findings, faults} = await runShortSoak(seed);
    t.same(findings, [], faults.join('; '));
  });
}
