import {
  QUEUE,
  buildJob,
  buildStep,
  findHolder,
  readinessOf,
  stateAt,
  submitAt,
  waitFor,
} from '@samphireramp/testing';
import {startBenchProcesses} from './startBenchProcesses';

/**
 * Time from the end of a holder to the acceptance, and to the end, of a job
 * of 100 ms handed in at another host. Run with `npm run bench:takeover`.
 */

const RUNS = 5;
const WORKERS = 4;
const PATIENCE_MILLIS = 20_000;
const STEPS = [buildStep({estimateMillis: 100})];

const {platform, site} = await startBenchProcesses(WORKERS);
for (let run = 0; run < RUNS; run++) {
  const holder = await findHolder(site, PATIENCE_MILLIS);
  const other = site.hosts.find(host => host !== holder);
  if (holder === undefined || other === undefined) {
    throw new Error('no host holds the site');
  }
  holder.process.kill('SIGKILL');
  await holder.ended;
  const id = run.toString(16).padStart(16, '0');
  const job = buildJob(id, STEPS, {policy: QUEUE});
  const startedAt = performance.now();
  const {status} = await submitAt(platform, other.callerAddress, job);
  const acceptedAt = performance.now();
  const isDone = await waitFor(
    async () => (await stateAt(other.callerAddress, job)) === 'completed',
    PATIENCE_MILLIS,
  );
  const fields = {
    run,
    status,
    accepted_millis: Math.round(acceptedAt - startedAt),
    completed_millis: isDone ? Math.round(performance.now() - startedAt) : '-',
  };
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
  site.restart(holder);
  await waitFor(
    async () => (await readinessOf(holder)) === 200,
    PATIENCE_MILLIS,
  );
}
await site.stop();
platform.stop();
