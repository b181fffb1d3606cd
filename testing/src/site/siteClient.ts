import {type Step, jobSchema} from '@samphireramp/jobs';
import {request} from 'undici';
import {waitFor} from '../waitFor';
import {buildJob, buildPolicy} from './jobFixture';
import type {Platform} from './startPlatform';
import type {SiteProcessHost, SiteProcesses} from './startSiteProcesses';

const QUEUE_HOST = 'jobs.example';
const QUEUE_PREFIX = '/queue/';
const MOST_ATTEMPTS = 3;
const CALL_MILLIS = 5000;

/** A configuration with one queue, in the platform's own format. */
export const ONE_QUEUE_CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'queue',
      host: QUEUE_HOST,
      path_prefix: QUEUE_PREFIX,
      service: 'pool',
      priority: 0,
      max_attempts: MOST_ATTEMPTS,
      stretch: 2,
      target_latency_ms: 500,
      advice: {decision_ms: 5, per_worker_ms: 1, validity_ms: 2500},
    },
  ],
  services: [{name: 'pool', rejects_overload: false}],
  limits: {max_body_bytes: 10_000},
};

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

/** Tells the judge of a job, and hands it in at a host. */
export function submitAt(
  platform: Platform,
  host: SiteProcessHost,
  id: string,
  steps: readonly Step[],
): Promise<HostAnswer> {
  const job = jobSchema.parse(buildJob(id, steps, {policy: buildPolicy()}));
  platform.judge.jobs.set(id, {
    job,
    maxAttempts: MOST_ATTEMPTS,
    acceptedAt: undefined,
    openTries: 0,
    isRefused: false,
    isCancelAsked: false,
    cancelledAt: undefined,
  });
  return callHost(host.callerAddress, 'POST', `${QUEUE_PREFIX}${id}`, {
    specification: job.input,
    steps: steps.map(encodeStep),
  });
}

/** Cancels a job at a host. */
export function cancelAt(
  platform: Platform,
  host: SiteProcessHost,
  id: string,
): Promise<HostAnswer> {
  const asked = platform.judge.jobs.get(id);
  if (asked !== undefined) {
    asked.isCancelAsked = true;
  }
  return callHost(host.callerAddress, 'DELETE', `${QUEUE_PREFIX}${id}`);
}

/** The state of a job as a host shows it, or the status of its refusal. */
export async function stateAt(
  host: SiteProcessHost,
  id: string,
): Promise<string> {
  const path = `${QUEUE_PREFIX}${id}`;
  const answer = await callHost(host.callerAddress, 'GET', path);
  return answer.status === 200
    ? (JSON.parse(answer.text) as {state: string}).state
    : String(answer.status);
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
    long_running: step.isService,
  };
}
