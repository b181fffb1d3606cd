import {
  type Plugin,
  type StateReader,
  type Update,
  mergeUnregister,
} from '@samphireramp/kernel';
import {REVISION_IN_FORCE} from '@samphireramp/configuration';
import {DURABLE, SHARD_RECOVERED} from '@samphireramp/journal';
import {HOSTS, type OwnIdentity} from '@samphireramp/membership';
import {
  INVENTORY_LEARNT,
  SHARD_HELD,
  SHARD_LOST,
  WORKER_LINKS,
  holdsShard,
} from '@samphireramp/ownership';
import {CAPACITY, type WorkerChooser} from '@samphireramp/placement';
import {match} from 'ts-pattern';
import {learnInventory} from './inventoryFlow';
import {cancelJob, startSecuredJob, submitJob, tellStatus} from './jobFlow';
import {
  CALL_DECIDED,
  EXECUTED,
  EXECUTION_SILENT,
  LOCAL_CALL,
  type LocalCall,
  PLACE_WORK,
  WORK_TICK,
} from './messages';
import {placeWork} from './placeWork';
import type {SchedulingPolicies} from './policy';
import {releaseLingering} from './releaseRoom';
import {
  endLateRequests,
  learnExecuted,
  learnSilent,
  queueSecuredRequest,
  resendRequests,
  takeRequest,
} from './requestFlow';
import {RETRY_BUDGETS, earnRetry} from './retryBudget';
import {
  forgetEnded,
  loseSilentWorkers,
  onShardHeld,
  onShardLost,
  onShardRecovered,
  resendStops,
  setCapacity,
  settleShards,
} from './shardFlow';
import {siteView} from './SiteView';
import {createStartActions, sendSecuredStart} from './startWork';
import {WORKER_HEALTH, letBack} from './workerHealth';
import {refreshUsable} from './workerUse';
import {QUEUE} from './WorkQueue';
import {
  ENDED,
  JOBS,
  LINGERING,
  OPEN_REQUESTS,
  ORPHANS,
  REQUEST_RECORDS,
  SHARD_WORK,
  STOPPING,
  TASKS,
  TEAM_USAGE,
} from './WorkState';

/** What the scheduling plug-in is given. */
export interface SchedulingOptions {
  readonly self: OwnIdentity;
  readonly policies: SchedulingPolicies;
  readonly choose: WorkerChooser;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Draws from [0, 1). */
  readonly random: () => number;
}

const SLICES = [
  CAPACITY,
  QUEUE,
  JOBS,
  TASKS,
  OPEN_REQUESTS,
  REQUEST_RECORDS,
  LINGERING,
  ORPHANS,
  STOPPING,
  ENDED,
  TEAM_USAGE,
  SHARD_WORK,
  RETRY_BUDGETS,
  WORKER_HEALTH,
];

/** Decides on jobs, tasks and requests of the shards that this host holds. */
export function createSchedulingPlugin(options: SchedulingOptions): Plugin {
  const placing = {
    policies: options.policies,
    choose: options.choose,
    createActions: createStartActions,
  };

  function onCall(update: Update, local: LocalCall): void {
    if (!isReady(update, local.shardId)) {
      refuseForNow(update, local);
      return;
    }
    if (!isReadyFor(update, local)) {
      refuseForNow(update, local);
      return;
    }
    match(local.call)
      .with({call: 'request'}, ({request}) => {
        earnRetry(update, local.shardId);
        takeRequest(update, options, local, request);
      })
      .with({call: 'submit'}, ({request}) =>
        submitJob(update, options, local, request),
      )
      .with({call: 'status'}, () => tellStatus(update, local))
      .with({call: 'cancel'}, () => cancelJob(update, local))
      .exhaustive();
  }

  function isReady(state: StateReader, shardId: string): boolean {
    const isRecovered = state.read(SHARD_WORK).get(shardId)?.isRecovered;
    return isRecovered === true && !isLeaving(state);
  }

  /** A key may be known to a host, or to the log, that was not heard yet. */
  function isReadyFor(state: StateReader, {call, shardId}: LocalCall): boolean {
    const work = state.read(SHARD_WORK).get(shardId);
    if (work === undefined) {
      return false;
    }
    if (call.call === 'status' || call.call === 'cancel') {
      return work.isComplete;
    }
    const {workload: name} = call.request;
    const workload = siteView(state)?.workloads.get(name);
    if (workload?.kind === 'service' && workload.idempotent) {
      return true;
    }
    const isLogNeeded = workload?.durability === 'store';
    return work.isComplete && (work.isLogRead || !isLogNeeded);
  }

  function isLeaving(state: StateReader): boolean {
    return state.read(HOSTS).get(options.self.name)?.leaving ?? false;
  }

  function refuseForNow(update: Update, {callId, key, shardId}: LocalCall) {
    const isHeld = update.read(SHARD_WORK).has(shardId);
    const heldReason = isLeaving(update) ? 'stopping' : 'recovering';
    const reason = isHeld ? heldReason : 'no-owner';
    const detail = `shard ${shardId}`;
    const outcome = {outcome: 'not-run', key, reason, detail} as const;
    update.dispatch(CALL_DECIDED, {callId, outcome});
  }

  function onDurable(update: Update, {ticket}: {ticket: string}): void {
    const isKnown =
      startSecuredJob(update, ticket) ||
      queueSecuredRequest(update, ticket) ||
      sendSecuredStart(update, ticket);
    if (!isKnown) {
      throw new Error(`No flow knows the ticket ${ticket}`);
    }
  }

  function onTick(update: Update): void {
    settleShards(update);
    endLateRequests(update);
    resendRequests(update);
    releaseLingering(update);
    loseSilentWorkers(update);
    resendStops(update);
    letBack(update);
    forgetEnded(update);
    for (const {shardId} of update.read(SHARD_WORK).values()) {
      refreshShard(update, shardId);
    }
  }

  function refreshShard(update: Update, shardId: string): void {
    for (const link of update.read(WORKER_LINKS).values()) {
      if (link.shardId === shardId) {
        refreshUsable(update, link.worker);
      }
    }
    if (holdsShard(update, shardId, update.now)) {
      update.dispatchOnce(PLACE_WORK, shardId, {shardId});
    }
  }

  function onRevision(update: Update): void {
    for (const {shardId} of [...update.read(SHARD_WORK).values()]) {
      setCapacity(update, shardId);
      update.dispatchOnce(PLACE_WORK, shardId, {shardId});
    }
  }

  return kernel =>
    mergeUnregister(
      ...SLICES.map(slice => kernel.registerSlice(slice as typeof JOBS)),
      kernel.registerCommand(LOCAL_CALL, onCall),
      kernel.registerCommand(PLACE_WORK, (update, {shardId}) =>
        placeWork(update, placing, shardId),
      ),
      kernel.registerCommand(INVENTORY_LEARNT, learnInventory),
      kernel.registerCommand(EXECUTED, learnExecuted),
      kernel.registerCommand(EXECUTION_SILENT, (update, failed) =>
        learnSilent(update, options, failed),
      ),
      kernel.registerCommand(DURABLE, onDurable),
      kernel.registerCommand(SHARD_HELD, (update, {shardId}) =>
        onShardHeld(update, shardId),
      ),
      kernel.registerCommand(SHARD_LOST, (update, {shardId}) =>
        onShardLost(update, shardId),
      ),
      kernel.registerCommand(SHARD_RECOVERED, onShardRecovered),
      kernel.registerCommand(REVISION_IN_FORCE, onRevision),
      kernel.registerCommand(WORK_TICK, onTick),
    );
}
