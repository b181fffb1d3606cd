import type {Job, QueuePolicy, Step} from '@samphireramp/jobs';
import {request} from 'undici';
import {waitFor} from '../waitFor';
import {buildPolicy} from './jobFixture';
import type {Platform} from './startPlatform';
import type {SiteProcessHost, SiteProcesses} from './startSiteProcesses';

const QUEUE_HOST = 'jobs.example';
const CALL_MILLIS = 5000;

/** The one queue of most tests with processes. */
export const QUEUE = buildPolicy({
  priority: 0,
  targetMillis: 500,
  advice: {decisionMillis: 5, perWorkerMillis: 1, validityMillis: 2500},
});

/** A configuration with some queues, in the platform's own format. */
export function encodeConfiguration(
  policies: readonly QueuePolicy[],
  version: number,
): object {
  return {
    version,
    routes: policies.map(policy => ({
      name: policy.name,
      host: QUEUE_HOST,
      path_prefix: `/${policy.name}/`,
      service: policy.pool,
      priority: policy.priority,
      max_attempts: policy.maxAttempts,
      stretch: policy.stretch,
      target_latency_ms: policy.targetMillis,
      advice: policy.advice && {
        decision_ms: policy.advice.decisionMillis,
        per_worker_ms: policy.advice.perWorkerMillis,
        validity_ms: policy.advice.validityMillis,
      },
    })),
    services: [{name: 'pool', rejects_overload: false}],
    limits: {max_body_bytes: 10_000},
  };
}

/** What a host answered. */
export interface HostAnswer {
  readonly status: number;
  readonly text: string;
}

/** Calls a host as callers do. Throws if no answer comes. */
export async function callHost(
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  content?: object | string,
): Promise<HostAnswer> {
  const answer = await request(`http://${address}${path}`, {
    method,
    headers: {host: QUEUE_HOST},
    body: typeof content === 'object' ? JSON.stringify(content) : content,
    signal: AbortSignal.timeout(CALL_MILLIS),
  });
  return {status: answer.statusCode, text: await answer.body.text()};
}

/** Hands a job in at a host. Throws if no answer comes. */
export async function submitAt(
  platform: Platform,
  address: string,
  job: Job,
): Promise<HostAnswer> {
  const known = platform.checker.registerJob(job);
  known.openTries++;
  let isRefused = false;
  try {
    const answer = await callHost(address, 'POST', pathOf(job), {
      specification: job.input,
      steps: job.steps.map(encodeStep),
    });
    isRefused = answer.status === 503 || answer.status === 429;
    if (answer.status === 200) {
      known.acceptedAt ??= performance.now();
    }
    return answer;
  } finally {
    known.openTries--;
    known.isRefused &&= isRefused;
  }
}

/** Cancels a job at a host. Throws if no answer comes. */
export async function cancelAt(
  platform: Platform,
  address: string,
  job: Job,
): Promise<HostAnswer> {
  const known = platform.checker.registerJob(job);
  known.isCancelAsked = true;
  const answer = await callHost(address, 'DELETE', pathOf(job));
  if (answer.status === 200) {
    known.cancelledAt ??= performance.now();
  }
  return answer;
}

/** The state of a job as a host shows it, or the status of its refusal. */
export async function stateAt(address: string, job: Job): Promise<string> {
  const answer = await callHost(address, 'GET', pathOf(job));
  return answer.status === 200
    ? (JSON.parse(answer.text) as {state: string}).state
    : String(answer.status);
}

function pathOf({id, policy}: Job): string {
  return `/${policy.name}/${id}`;
}

/** Status of a host's readiness; 0 if it does not answer. */
export async function readinessOf(host: SiteProcessHost): Promise<number> {
  return callHost(host.readinessAddress, 'GET', '/api/readiness').then(
    answer => answer.status,
    () => 0,
  );
}

/** The host that holds the site; undefined if none does in time. */
export async function findHolder(
  site: SiteProcesses,
  patienceMillis: number,
): Promise<SiteProcessHost | undefined> {
  let holder: SiteProcessHost | undefined;
  await waitFor(async () => {
    for (const host of site.hosts) {
      const answer = await callHost(
        host.metricsAddress,
        'GET',
        '/metrics',
      ).catch(() => ({text: ''}));
      if (answer.text.includes('samphireramp_is_holder 1')) {
        holder = host;
      }
    }
    return holder !== undefined;
  }, patienceMillis);
  return holder;
}

function encodeStep(step: Step) {
  return {
    count: step.count,
    cpu: step.need.cpuMillis,
    memory_request_mb: step.need.memoryMegabytes,
    estimated_ms: step.estimateMillis,
    after: step.after,
    gang_scheduled: step.isGang,
    checkpointing: step.savesCheckpoints,
    anti_affinity: step.mostOnOneWorker,
    long_running: step.isService,
  };
}
