import type {Update} from '@samphireramp/kernel';
import {RECORD_CHANGES} from '@samphireramp/journal';
import type {WorkChange} from '@samphireramp/model';
import {
  INVENTORY_LEARNT,
  SHARDS,
  WORKER_LINKS,
  holdsShard,
  surelyAfter,
} from '@samphireramp/ownership';
import {CAPACITY} from '@samphireramp/placement';
import {attemptLost, sendStop} from './attemptOutcome';
import {adoptOrphan} from './inventoryFlow';
import {addJob, queueJob} from './jobFlow';
import {PLACE_WORK} from './messages';
import {taskIdOf, tasksOf} from './queueWork';
import {endTask, hasEnded, rememberFor} from './recordTask';
import {dropRequests} from './requestFlow';
import {ownCapacity, siteView} from './SiteView';
import {QUEUE} from './WorkQueue';
import {refreshUsable} from './workerUse';
import {
  ENDED,
  JOBS,
  LINGERING,
  ORPHANS,
  REQUEST_RECORDS,
  SHARD_WORK,
  STOPPING,
  type ShardWork,
  TASKS,
  TEAM_USAGE,
} from './WorkState';

/** A shard was taken over: nothing of its work is known yet. */
export function onShardHeld(update: Update, shardId: string): void {
  const view = siteView(update);
  const taskLease = view?.declaration.control.taskLeaseMillis ?? 0;
  update.write(SHARD_WORK).set(shardId, {
    shardId,
    isRecovered: false,
    isComplete: false,
    isLogRead: false,
    settledAt: update.now + surelyAfter(taskLease),
    isSettled: false,
    earlyNews: [],
  });
  setCapacity(update, shardId);
}

/** Brings the capacity columns in line with the declaration in force. */
export function setCapacity(update: Update, shardId: string): void {
  const capacity = update.write(CAPACITY);
  const workers = siteView(update)?.shardCapacity(shardId).workers ?? [];
  for (const worker of workers) {
    const place = {rack: worker.rack, shardId};
    capacity.setWorker(worker.name, place, ownCapacity(worker));
    refreshUsable(update, worker.name);
  }
}

/** Another host may hold the shard now: drops all that was known of it. */
export function onShardLost(update: Update, shardId: string): void {
  dropRequests(update, shardId, 'no-owner');
  update.write(SHARD_WORK).delete(shardId);
  update.write(QUEUE).clearShard(shardId);
  const workers = new Set(
    [...update.read(WORKER_LINKS).values()]
      .filter(link => link.shardId === shardId)
      .map(link => link.worker),
  );
  workers.forEach(worker => update.write(CAPACITY).removeWorker(worker));
  const tables = [JOBS, TASKS, REQUEST_RECORDS, TEAM_USAGE, LINGERING, ORPHANS];
  for (const slice of tables) {
    dropRows(update, slice as typeof JOBS, shardId);
  }
  dropRows(update, ENDED as never, shardId);
}

function dropRows(update: Update, slice: typeof JOBS, shardId: string): void {
  const table = update.write(slice);
  for (const id of [...table.keys()]) {
    if (table.get(id)?.shardId === shardId) {
      table.delete(id);
    }
  }
}

/** What a recovery tells. */
export interface RecoveredWork {
  readonly shardId: string;
  readonly changes: readonly WorkChange[];
  readonly isComplete: boolean;
  readonly isLogRead: boolean;
}

/** Takes in the accepted work of a shard that was taken over, or more of it. */
export function onShardRecovered(
  update: Update,
  recovered: RecoveredWork,
): void {
  const {shardId, changes, isComplete, isLogRead} = recovered;
  const work = update.read(SHARD_WORK).get(shardId);
  if (work === undefined) {
    return;
  }
  const newJobs = new Set(
    changes.flatMap(change =>
      change.type === 'job' && !update.read(JOBS).has(change.job.key)
        ? [change.job.key]
        : [],
    ),
  );
  for (const type of LOAD_ORDER) {
    const ofType = changes.filter(change => change.type === type);
    ofType.forEach(change => load(update, change, newJobs));
  }
  update.write(SHARD_WORK).set(shardId, {
    ...work,
    isRecovered: true,
    isComplete,
    isLogRead,
    // What was learnt late has to be settled too.
    isSettled: work.isSettled && newJobs.size === 0,
    earlyNews: [],
  });
  work.earlyNews.forEach(news => update.dispatch(INVENTORY_LEARNT, news));
  adoptOrphans(update, shardId);
  update.dispatchOnce(PLACE_WORK, shardId, {shardId});
}

const LOAD_ORDER = ['job', 'request', 'task'] as const;

/** Attempts that no record told of may belong to what was learnt late. */
function adoptOrphans(update: Update, shardId: string): void {
  const orphans = update.read(ORPHANS);
  for (const id of [...orphans.keys()]) {
    const orphan = orphans.get(id);
    const task = orphan && update.read(TASKS).get(orphan.entry.taskId);
    if (orphan?.shardId === shardId && task?.isUnsettled) {
      adoptOrphan(update, id, orphan, task);
    }
  }
}

function load(
  update: Update,
  change: WorkChange,
  newJobs: ReadonlySet<string>,
): void {
  switch (change.type) {
    case 'job':
      loadJob(update, change, newJobs);
      break;
    case 'task':
      loadTask(update, change, newJobs);
      break;
    case 'request':
      loadRequest(update, change);
      break;
    case 'forget':
      break;
    default:
      change satisfies never;
  }
}

function loadJob(
  update: Update,
  {job: record}: Extract<WorkChange, {type: 'job'}>,
  newJobs: ReadonlySet<string>,
): void {
  if (!newJobs.has(record.key)) {
    return;
  }
  const job = addJob(update, record);
  update.write(JOBS).set(job.key, {...job, isSecured: true});
  for (const task of tasksOf(update, job)) {
    update.write(TASKS).set(task.taskId, {...task, isUnsettled: true});
  }
}

function loadTask(
  update: Update,
  {task: record}: Extract<WorkChange, {type: 'task'}>,
  newJobs: ReadonlySet<string>,
): void {
  if (!newJobs.has(record.jobKey)) {
    return;
  }
  const task = update.read(TASKS).get(record.taskId);
  const job = update.read(JOBS).get(record.jobKey);
  if (task === undefined || job === undefined) {
    return;
  }
  const isEnded = hasEnded(record.state);
  update
    .write(TASKS)
    .set(task.taskId, {...task, ...record, isUnsettled: !isEnded});
  if (isEnded) {
    const open = job.open - 1;
    update.write(JOBS).set(job.key, {...job, open});
    if (open === 0) {
      rememberFor(update, job.key, job.shardId);
    }
  }
}

function loadRequest(
  update: Update,
  {request}: Extract<WorkChange, {type: 'request'}>,
): void {
  const known = update.read(REQUEST_RECORDS).get(request.key);
  update.write(REQUEST_RECORDS).set(request.key, {
    ...request,
    outcome: known?.outcome ?? request.outcome,
  });
  rememberFor(update, request.key, request.shardId);
}

/** Frees the tasks of before the take-over that surely run nowhere. */
export function settleShards(update: Update): void {
  for (const work of [...update.read(SHARD_WORK).values()]) {
    const isReady = work.isComplete && !work.isSettled;
    if (isReady && isSettledNow(update, work.shardId, work.settledAt)) {
      const isSettled = work.isLogRead;
      update.write(SHARD_WORK).set(work.shardId, {...work, isSettled});
      settleTasks(update, work);
    }
  }
}

function isSettledNow(
  update: Update,
  shardId: string,
  settledAt: number,
): boolean {
  const shard = update.read(SHARDS).get(shardId);
  if (shard === undefined || !holdsShard(update, shardId, update.now)) {
    return false;
  }
  const links = update.read(WORKER_LINKS);
  const areAllKnown = shard.voters.every(
    voter => links.get(voter)?.inventoryTerm === shard.term,
  );
  return areAllKnown || update.now >= settledAt;
}

function settleTasks(update: Update, work: ShardWork): void {
  const {shardId, isLogRead} = work;
  const settledJobs = new Set<string>();
  for (const task of [...update.read(TASKS).values()]) {
    if (!task.isUnsettled || task.shardId !== shardId) {
      continue;
    }
    const settled = {...task, isUnsettled: false, queuedAt: update.now};
    const job = update.read(JOBS).get(task.jobKey);
    // Its starts may be recorded in the log alone.
    if (job?.durability === 'store' && !isLogRead) {
      continue;
    }
    settledJobs.add(task.jobKey);
    if (task.state !== 'queued') {
      attemptLost(update, settled);
    } else if (job?.cancelled) {
      endTask(update, settled, 'cancelled');
    } else {
      update.write(TASKS).set(task.taskId, settled);
    }
  }
  for (const job of [...update.read(JOBS).values()]) {
    if (settledJobs.has(job.key) && job.open > 0) {
      queueJob(update, job);
    }
  }
}

/** Gives up the tasks of workers that were silent for a task lease. */
export function loseSilentWorkers(update: Update): void {
  const control = siteView(update)?.declaration.control;
  if (control === undefined) {
    return;
  }
  const patience = surelyAfter(control.taskLeaseMillis);
  for (const link of update.read(WORKER_LINKS).values()) {
    const isSilent = update.now - link.answeredAt > patience;
    const hasLapsed = update.now - link.renewedAt > patience;
    if (isSilent && hasLapsed) {
      loseTasksOf(update, link.worker);
    }
  }
}

function loseTasksOf(update: Update, worker: string): void {
  for (const task of update.read(TASKS).withKey(worker)) {
    attemptLost(update, task);
  }
}

/** Sends stop orders again that had no effect yet. */
export function resendStops(update: Update): void {
  for (const {taskId, resendAt} of [...update.read(STOPPING).values()]) {
    const task = update.read(TASKS).get(taskId);
    if (task === undefined || task.state !== 'stopping') {
      update.write(STOPPING).delete(taskId);
    } else if (update.now >= resendAt) {
      sendStop(update, task);
    }
  }
}

/** Forgets ended work whose time has come; the table is in order of time. */
export function forgetEnded(update: Update): void {
  for (const row of [...update.read(ENDED).values()]) {
    if (row.forgetAt > update.now) {
      return;
    }
    update.write(ENDED).delete(row.key);
    forgetRows(update, row.key);
    const {shardId, key} = row;
    update.dispatch(RECORD_CHANGES, [{type: 'forget', shardId, key}]);
  }
}

function forgetRows(update: Update, key: string): void {
  const job = update.read(JOBS).get(key);
  for (let index = 0; index < (job?.tasks ?? 0); index++) {
    update.write(TASKS).delete(taskIdOf(key, index));
  }
  update.write(JOBS).delete(key);
  update.write(REQUEST_RECORDS).delete(key);
}
