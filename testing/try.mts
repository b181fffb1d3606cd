import {buildDeclarationValue} from './src/index';
import {declarationSchema} from '@samphireramp/model';
import {runSchedule, NO_FAULT_RATES, buildDeclaration, CALM} from './src/index';
const n = Number(process.argv[2] ?? 5);
const faults =
  process.argv[3] === 'calm'
    ? NO_FAULT_RATES
    : {
        hostKills: 4,
        hostPauses: 6,
        hostCuts: 2,
        workerRestarts: 2,
        workerCuts: 6,
        logOutages: 2,
        cancellations: 2,
      };
const weather =
  process.argv[3] === 'calm'
    ? CALM
    : {
        loss: 0.02,
        duplication: 0.02,
        shortestDelay: 1,
        longestDelay: process.argv[3] === 'late' ? 6000 : 200,
      };
const v: any = buildDeclarationValue({workersInZone: 5});
for (const w of v.workloads)
  if (w.name !== 'slot-check') w.durability = 'store';
const decl = declarationSchema.parse(v);
const total = new Map();
const t0 = performance.now();
let bad = 0,
  un = 0,
  acc = 0,
  err = 0;
for (let seed = 1; seed <= n; seed++) {
  const r = runSchedule({
    seed,
    declaration: decl,
    hostsInZone: 3,
    faults,
    weather,
    largestDrift: 0.01,
    stormMillis: 60000,
    calmMillis: 40000,
    jobs: 20,
    requests: 60,
    longestFaultMillis: 12000,
  });
  for (const [k, v] of r.outcomes) total.set(k, (total.get(k) ?? 0) + v);
  acc += r.acceptedJobs;
  un += r.unendedJobs.length;
  err += r.errors.length;
  if (r.violations.length || r.errors.length || r.unendedJobs.length) {
    bad++;
    console.log(
      seed,
      r.violations.slice(0, 4),
      r.errors.slice(0, 1),
      r.unendedJobs.slice(0, 3),
    );
  }
}
console.log({n, bad, acc, un, err, total, ms: performance.now() - t0});
