import type {StateReader} from '@samphireramp/kernel';
import {addResources, isWithin} from '@samphireramp/model';
import {CAPACITY, NO_WORKER, chooseFirstFit} from '@samphireramp/placement';
import {quotaPart, siteView} from './SiteView';
import {
  type JobRow,
  SHARD_WORK,
  TEAM_USAGE,
  type TaskRow,
  usageId,
} from './WorkState';

/** Names the limit that keeps the queued tasks of a job from starting. */
export function explainWait(
  state: StateReader,
  job: JobRow,
  tasks: readonly TaskRow[],
): string {
  const waiting = tasks.find(task => task.state === 'queued');
  if (waiting === undefined) {
    return '';
  }
  if (waiting.isUnsettled) {
    return 'take-over: an earlier attempt may still run on a worker that does not answer';
  }
  const work = state.read(SHARD_WORK).get(job.shardId);
  if (work === undefined || !work.isRecovered) {
    return `recovery of shard ${job.shardId}`;
  }
  return explainRoom(state, job);
}

function explainRoom(state: StateReader, job: JobRow): string {
  const view = siteView(state);
  const need = view?.needs.get(job.workload);
  if (view === undefined || need === undefined) {
    return `workload ${job.workload} is no longer declared`;
  }
  const quota = quotaPart(view, job.team, job.shardId);
  const held = state.read(TEAM_USAGE).get(usageId(job.shardId, job.team))?.held;
  const asked = held === undefined ? need : addResources(held, need);
  if (quota !== undefined && !isWithin(asked, quota)) {
    return `quota of team ${job.team} in shard ${job.shardId}`;
  }
  const capacity = state.read(CAPACITY);
  const isOfShard = (row: number) => capacity.shardAt(row) === job.shardId;
  const row = chooseFirstFit(capacity, need, isOfShard);
  return row === NO_WORKER
    ? `room for ${job.workload} on a worker of shard ${job.shardId}`
    : 'its turn: other work goes first, or slots are kept free by policy';
}
