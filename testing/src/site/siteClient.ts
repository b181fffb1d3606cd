import type {Job, QueuePolicy, Step} from '@samphireramp/jobs';
import {request} from 'undici';
import {waitFor} from '../waitFor';
import {buildPolicy} from './jobFixture';
import type {Platform} from './startPlatform';
import type {SiteProcessHost, SiteProcesses} from './startSiteProcesses';

/** Host name in the routes to all queues; callers send it as `host` header. */
const ROUTE_HOST_NAME = 'jobs.example';
/** Time within which a host must answer a call. */
const CALL_TIMEOUT_MILLIS = 5000;

/** Policy of the only queue in most tests that run hosts as processes. */
export const DEFAULT_POLICY = buildPolicy({
  priority: 0,
  targetMillis: 500,
  advice: {decisionMillis: 5, perWorkerMillis: 1, validityMillis: 2500},
});

/** Encodes a configuration with a route to each queue, as the store keeps it. */
export function encodeConfiguration(
  policies: readonly QueuePolicy[],
  version: number,
): object {
  return {
    version,
    routes: policies.map(policy => ({
      name: policy.name,
      host: ROUTE_HOST_NAME,
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

/** Answer of a host to a caller. */
export interface HostAnswer {
  readonly status: number;
  readonly text: string;
}

/** Calls a host as a caller does. Throws if no answer arrives. */
export async function callHost(
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  content?: object | string,
): Promise<HostAnswer> {
  const answer = await request(`http://${address}${path}`, {
    method,
    headers: {host: ROUTE_HOST_NAME},
    body: typeof content === 'object' ? JSON.stringify(content) : content,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MILLIS),
  });
  return {status: answer.statusCode, text: await answer.body.text()};
}

/**
 * Submits a job to a host and records the answer in the platform's checker.
 * Throws if no answer arrives.
 */
export async function submitAt(
  platform: Platform,
  address: string,
  job: Job,
): Promise<HostAnswer> {
  const submitted = platform.checker.registerJob(job);
  submitted.pendingSubmits++;
  let isRefused = false;
  try {
    const answer = await callHost(address, 'POST', pathOf(job), {
      specification: job.input,
      steps: job.steps.map(encodeStep),
    });
    isRefused = answer.status === 503 || answer.status === 429;
    if (answer.status === 200) {
      submitted.acceptedAt ??= performance.now();
    }
    return answer;
  } finally {
    submitted.pendingSubmits--;
    submitted.isRefused &&= isRefused;
  }
}

/**
 * Cancels a job at a host and records the answer in the platform's checker.
 * Throws if no answer arrives.
 */
export async function cancelAt(
  platform: Platform,
  address: string,
  job: Job,
): Promise<HostAnswer> {
  const submitted = platform.checker.registerJob(job);
  submitted.isCancelRequested = true;
  const answer = await callHost(address, 'DELETE', pathOf(job));
  if (answer.status === 200) {
    submitted.cancelledAt ??= performance.now();
  }
  return answer;
}

/** Returns a job's state as a host reports it, or the status of an error. */
export async function readJobState(address: string, job: Job): Promise<string> {
  const answer = await callHost(address, 'GET', pathOf(job));
  return answer.status === 200
    ? (JSON.parse(answer.text) as {state: string}).state
    : String(answer.status);
}

/** Returns the path of a job in the job API. */
function pathOf({id, policy}: Job): string {
  return `/${policy.name}/${id}`;
}

/** Returns the status of a host's readiness endpoint, or 0 without an answer. */
export async function readReadiness(host: SiteProcessHost): Promise<number> {
  return callHost(host.readinessAddress, 'GET', '/api/readiness').then(
    answer => answer.status,
    () => 0,
  );
}

/** Waits until a host reports that it is the holder; undefined on timeout. */
export async function waitForHolder(
  site: SiteProcesses,
  timeoutMillis: number,
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
  }, timeoutMillis);
  return holder;
}

/** Encodes a step as callers send it. */
function encodeStep(step: Step) {
  return {
    count: step.count,
    cpu: step.need.cpuMillis,
    memory_request_mb: step.need.memoryMegabytes,
    estimated_ms: step.estimateMillis,
    after: step.after,
    gang_scheduled: step.isGang,
    requirements: step.requiredLabel,
    checkpointing: step.savesCheckpoints,
    anti_affinity: step.mostOnOneWorker,
    long_running: step.isService,
  };
}
