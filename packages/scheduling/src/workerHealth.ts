import {
  type StateReader,
  type Update,
  createTableSlice,
} from '@samphireramp/kernel';
import {SHARDS} from '@samphireramp/ownership';
import * as z from 'zod/mini';
import {WORK_EVENT} from './messages';

/** Weight of the newest outcome in a worker's failure rate. */
const NEWEST_WEIGHT = 0.2;
const LEAST_OUTCOMES = 5;
/** A worker is taken out when its failure rate is above its peers' by this. */
const FAILURE_EXCESS = 0.4;
/** Most of a shard's workers that may be out for failures at once. */
const LARGEST_PART_OUT = 0.2;
const FIRST_PROBE_MILLIS = 30_000;
const LAST_PROBE_MILLIS = 600_000;

/** How a worker's attempts ended of late. */
export const workerHealthSchema = z.object({
  worker: z.string(),
  shardId: z.string(),
  /** Failures as a part of the outcomes, newer ones weighing more. */
  failureRate: z.number(),
  outcomes: z.int(),
  /** Monotonic milliseconds until which the worker gets no work. */
  outUntil: z.optional(z.number()),
  pauseMillis: z.number(),
});

/** How a worker's attempts ended of late. */
export type WorkerHealth = z.infer<typeof workerHealthSchema>;

/** The health of workers by name. */
export const WORKER_HEALTH = createTableSlice<WorkerHealth>('worker-health');

/** Whether a worker gets no work because what it starts fails. */
export function isTakenOut(state: StateReader, worker: string): boolean {
  return state.read(WORKER_HEALTH).get(worker)?.outUntil !== undefined;
}

/** Counts how an attempt ended, and takes the worker out if it stands out. */
export function learnOutcome(
  update: Update,
  worker: string,
  shardId: string,
  isGood: boolean,
): void {
  const health = update.write(WORKER_HEALTH);
  const before = health.get(worker) ?? newHealth(worker, shardId);
  const newest = isGood ? 0 : 1;
  const after: WorkerHealth = {
    ...before,
    failureRate:
      before.failureRate * (1 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT,
    outcomes: before.outcomes + 1,
    pauseMillis: isGood ? FIRST_PROBE_MILLIS : before.pauseMillis,
  };
  health.set(worker, after);
  if (!isGood && standsOut(update, after) && mayTakeOut(update, shardId)) {
    takeOut(update, after);
  }
}

/** Lets workers back whose pause is over, to be probed by new work. */
export function letBack(update: Update): void {
  for (const row of [...update.read(WORKER_HEALTH).values()]) {
    if (row.outUntil !== undefined && update.now >= row.outUntil) {
      const pauseMillis = Math.min(row.pauseMillis * 2, LAST_PROBE_MILLIS);
      const next = {...row, outUntil: undefined, pauseMillis};
      update.write(WORKER_HEALTH).set(row.worker, next);
      tell(update, 'worker-let-back', row);
    }
  }
}

function standsOut(update: Update, health: WorkerHealth): boolean {
  if (health.outcomes < LEAST_OUTCOMES) {
    return false;
  }
  const peers = [...update.read(WORKER_HEALTH).values()].filter(
    row => row.shardId === health.shardId && row.worker !== health.worker,
  );
  const sum = peers.reduce((total, row) => total + row.failureRate, 0);
  const usual = peers.length === 0 ? 0 : sum / peers.length;
  return health.failureRate > usual + FAILURE_EXCESS;
}

function mayTakeOut(update: Update, shardId: string): boolean {
  const voters = update.read(SHARDS).get(shardId)?.voters.length ?? 0;
  let out = 0;
  for (const row of update.read(WORKER_HEALTH).values()) {
    out += row.shardId === shardId && row.outUntil !== undefined ? 1 : 0;
  }
  return out + 1 <= Math.max(1, Math.floor(voters * LARGEST_PART_OUT));
}

function takeOut(update: Update, health: WorkerHealth): void {
  const outUntil = update.now + health.pauseMillis;
  update.write(WORKER_HEALTH).set(health.worker, {...health, outUntil});
  tell(update, 'worker-taken-out', health);
}

function tell(
  update: Update,
  event: 'worker-taken-out' | 'worker-let-back',
  health: WorkerHealth,
): void {
  update.emit(WORK_EVENT, {
    event,
    subject: health.worker,
    workload: '',
    detail: `failure rate ${health.failureRate.toFixed(2)}`,
  });
}

function newHealth(worker: string, shardId: string): WorkerHealth {
  return {
    worker,
    shardId,
    failureRate: 0,
    outcomes: 0,
    pauseMillis: FIRST_PROBE_MILLIS,
  };
}
