import type {Update} from '@samphireramp/kernel';
import {
  type Attempt,
  type InventoryEntry,
  type StopOrder,
  toResourceVector,
} from '@samphireramp/model';
import {type InventoryNews, SEND_ORDERS} from '@samphireramp/ownership';
import {attemptEnded, attemptLost, attemptNotRun} from './attemptOutcome';
import {PLACE_WORK, WORK_EVENT} from './messages';
import {adoptRoom, letLinger, releaseRoom} from './releaseRoom';
import {siteView} from './SiteView';
import {mayRepeat} from './startWork';
import {
  JOBS,
  ORPHANS,
  type Orphan,
  SHARD_WORK,
  TASKS,
  type TaskRow,
} from './WorkState';
import {learnOutcome} from './workerHealth';
import {refreshUsable} from './workerUse';

/** The team that orphans are counted for. */
const NO_TEAM = '';

/** Takes in what a worker tells about the attempts on it. */
export function learnInventory(update: Update, news: InventoryNews): void {
  const work = update.read(SHARD_WORK).get(news.shardId);
  if (work === undefined) {
    return;
  }
  if (!work.isRecovered) {
    const earlyNews = [...work.earlyNews, news];
    update.write(SHARD_WORK).set(work.shardId, {...work, earlyNews});
    return;
  }
  const orders = new FollowUpOrders();
  for (const entry of news.entries) {
    learnEntry(update, news, entry, orders);
  }
  learnRefusals(update, news);
  learnMissing(update, news);
  orders.send(update, news.worker);
  refreshUsable(update, news.worker);
  update.dispatchOnce(PLACE_WORK, news.shardId, {
    shardId: news.shardId,
  });
}

class FollowUpOrders {
  readonly stops: StopOrder[] = [];
  readonly forgets: Attempt[] = [];

  send(update: Update, worker: string): void {
    const {stops, forgets} = this;
    if (stops.length + forgets.length > 0) {
      update.dispatch(SEND_ORDERS, {worker, starts: [], stops, forgets});
    }
  }
}

function learnEntry(
  update: Update,
  news: InventoryNews,
  entry: InventoryEntry,
  orders: FollowUpOrders,
): void {
  const {taskId, attempt} = entry;
  if (entry.kind === 'request') {
    keepRequestRoom(update, news, entry);
    return;
  }
  if (entry.state !== 'running') {
    orders.forgets.push({taskId, attempt});
  }
  const task = update.read(TASKS).get(taskId);
  if (task !== undefined && isOurs(task, news.worker, entry)) {
    learnOwn(update, news, task, entry);
  } else {
    learnOrphan(update, news, entry);
    if (task !== undefined && entry.state === 'running') {
      orders.stops.push({taskId, attempt, mode: 'stop'});
    }
  }
}

/** A request of before the take-over keeps its room while it may run. */
function keepRequestRoom(
  update: Update,
  {worker, shardId}: InventoryNews,
  entry: InventoryEntry,
): void {
  const workload = siteView(update)?.workloads.get(entry.workload);
  const need = toResourceVector(entry.size);
  const room = {worker, shardId, team: NO_TEAM, need};
  adoptRoom(update, room);
  const until = update.now + 2 * (workload?.deadlineMillis ?? 0);
  letLinger(update, `${worker} ${entry.taskId}`, room, until);
}

/** Whether an entry is the open attempt of a task, or one not yet known. */
function isOurs(task: TaskRow, worker: string, entry: InventoryEntry): boolean {
  if (task.isUnsettled) {
    return entry.attempt >= task.attempt;
  }
  // A worker tells an end until it is asked to forget it: it counts once.
  const isOpen = task.held !== undefined;
  return isOpen && task.worker === worker && task.attempt === entry.attempt;
}

function learnOwn(
  update: Update,
  news: InventoryNews,
  task: TaskRow,
  entry: InventoryEntry,
): void {
  if (task.isUnsettled && mayBeFollowed(update, task, entry)) {
    const {attempt} = entry;
    update.write(TASKS).set(task.taskId, {...task, attempt});
    return;
  }
  const known = task.isUnsettled ? adopt(update, news, task, entry) : task;
  if (entry.state === 'running') {
    const state = known.state === 'stopping' ? 'stopping' : 'running';
    update.write(TASKS).set(known.taskId, {...known, state});
    return;
  }
  learnOutcome(update, news.worker, news.shardId, entry.state !== 'failed');
  attemptEnded(update, known, entry.state);
}

/**
 * Whether a later attempt may run unseen on a worker that was not heard yet:
 * then an attempt that did not succeed settles nothing.
 */
function mayBeFollowed(
  update: Update,
  task: TaskRow,
  entry: InventoryEntry,
): boolean {
  const job = update.read(JOBS).get(task.jobKey);
  const hasFailed = entry.state === 'failed' || entry.state === 'stopped';
  return hasFailed && job !== undefined && mayRepeat(update, job);
}

/** A task of before the take-over was found: it is where it is. */
function adopt(
  update: Update,
  news: Pick<InventoryNews, 'worker' | 'shardId'>,
  task: TaskRow,
  entry: InventoryEntry,
): TaskRow {
  const {worker, shardId} = news;
  const team = update.read(JOBS).get(task.jobKey)?.team ?? NO_TEAM;
  const need = toResourceVector(entry.size);
  adoptRoom(update, {shardId, worker, team, need});
  return {
    ...task,
    worker,
    attempt: entry.attempt,
    held: need,
    state: 'running',
    startedAt: update.now,
    isUnsettled: false,
  };
}

function learnOrphan(
  update: Update,
  news: InventoryNews,
  entry: InventoryEntry,
): void {
  const id = `${news.worker} ${entry.taskId} ${entry.attempt}`;
  const known = update.read(ORPHANS).get(id);
  if (entry.state !== 'running') {
    if (known !== undefined) {
      forgetOrphan(update, id, known);
    }
    return;
  }
  if (known !== undefined) {
    return;
  }
  const {worker, shardId} = news;
  const need = toResourceVector(entry.size);
  update.write(ORPHANS).set(id, {worker, shardId, entry, need});
  adoptRoom(update, {worker, shardId, team: NO_TEAM, need});
  update.emit(WORK_EVENT, {
    event: 'orphan-adopted',
    subject: entry.taskId,
    workload: entry.workload,
    detail: `worker ${worker}, attempt ${entry.attempt}`,
  });
}

/** A record told late of an attempt that runs: it is the task's own. */
export function adoptOrphan(
  update: Update,
  id: string,
  orphan: Orphan,
  task: TaskRow,
): void {
  forgetOrphan(update, id, orphan);
  const {worker, shardId, entry} = orphan;
  update
    .write(TASKS)
    .set(task.taskId, adopt(update, {worker, shardId}, task, entry));
}

function forgetOrphan(update: Update, id: string, orphan: Orphan): void {
  update.write(ORPHANS).delete(id);
  releaseRoom(update, {...orphan, team: NO_TEAM});
}

function learnRefusals(update: Update, news: InventoryNews): void {
  for (const {taskId, attempt} of news.refused) {
    const task = update.read(TASKS).get(taskId);
    const isIt = task?.worker === news.worker && task.attempt === attempt;
    if (task !== undefined && isIt && task.state === 'starting') {
      attemptNotRun(update, task);
    }
  }
}

/** What should be on the worker and is not, is not running. */
function learnMissing(update: Update, news: InventoryNews): void {
  const listed = new Set(
    news.entries.map(({taskId, attempt}) => `${taskId} ${attempt}`),
  );
  for (const task of update.read(TASKS).withKey(news.worker)) {
    if (!listed.has(`${task.taskId} ${task.attempt}`)) {
      judgeMissing(update, news, task);
    }
  }
  if (news.whole) {
    dropMissingOrphans(update, news, listed);
  }
}

function judgeMissing(
  update: Update,
  news: InventoryNews,
  task: TaskRow,
): void {
  const isPastDeadline = news.clock > (task.startDeadline ?? Infinity);
  if (news.restarted) {
    attemptLost(update, task);
  } else if (task.state === 'starting' && isPastDeadline) {
    attemptNotRun(update, task);
  } else if (news.whole && task.state === 'running') {
    attemptLost(update, task);
  } else if (news.whole && task.state === 'stopping' && isPastDeadline) {
    attemptLost(update, task);
  }
}

function dropMissingOrphans(
  update: Update,
  news: InventoryNews,
  listed: ReadonlySet<string>,
): void {
  for (const [id, orphan] of entriesOf(update)) {
    const {taskId, attempt} = orphan.entry;
    const isHere = orphan.worker === news.worker;
    if (isHere && !listed.has(`${taskId} ${attempt}`)) {
      forgetOrphan(update, id, orphan);
    }
  }
}

function entriesOf(update: Update): Array<readonly [string, Orphan]> {
  const orphans = update.read(ORPHANS);
  return [...orphans.keys()].flatMap(id => {
    const orphan = orphans.get(id);
    return orphan === undefined ? [] : [[id, orphan] as const];
  });
}
