import {
  DEFAULT_POLICY,
  buildJob,
  buildStep,
  waitForHolder,
  readReadiness,
  readJobState,
  submitAt,
  waitFor,
} from '@samphireramp/testing';
import {startBenchProcesses} from './startBenchProcesses';

/**
 * Kills the holder, submits a job of 100 ms to a follower and measures the time
 * until the job is accepted and until it completes. Run with
 * `npm run bench:takeover`.
 */

const REPETITIONS = 5;
const WORKER_COUNT = 4;
const TIMEOUT_MILLIS = 20_000;
const STEPS = [buildStep({estimateMillis: 100})];

const {platform, site} = await startBenchProcesses(WORKER_COUNT);
for (let repetition = 0; repetition < REPETITIONS; repetition++) {
  const holder = await waitForHolder(site, TIMEOUT_MILLIS);
  const follower = site.hosts.find(host => host !== holder);
  if (holder === undefined || follower === undefined) {
    throw new Error('no host holds the site');
  }
  holder.process.kill('SIGKILL');
  await holder.ended;
  const id = repetition.toString(16).padStart(16, '0');
  const job = buildJob(id, STEPS, {policy: DEFAULT_POLICY});
  const startedAt = performance.now();
  const {status} = await submitAt(platform, follower.callerAddress, job);
  const acceptedAt = performance.now();
  const isDone = await waitFor(
    async () =>
      (await readJobState(follower.callerAddress, job)) === 'completed',
    TIMEOUT_MILLIS,
  );
  const fields = {
    run: repetition,
    status,
    accepted_millis: Math.round(acceptedAt - startedAt),
    completed_millis: isDone ? Math.round(performance.now() - startedAt) : '-',
  };
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`${pairs.join(' ')}\n`);
  site.restart(holder);
  await waitFor(
    async () => (await readReadiness(holder)) === 200,
    TIMEOUT_MILLIS,
  );
}
await site.stop();
platform.stop();
