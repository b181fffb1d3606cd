import type {Update} from '@samphireramp/kernel';
import {RUNS, type Run, stopRun} from '@samphireramp/fleet';
import {type RunId, runKey} from '@samphireramp/jobs';
import {type ActiveTask, findActiveTask} from './activeTask';

/**
 * Stops the other members of a gang whose run can't be complete any more. Each
 * would reserve its resources and wait for the missing member in vain, and the
 * gang is placed again only when all its members have ended.
 */
export function stopIncompleteGang(update: Update, runId: RunId): void {
  stopMembers(update, runId, () => true);
}

/**
 * Stops the members of a gang that may not have started when another member
 * ended. The worker of a member that has started ends it by itself.
 */
export function stopUnstartedMembers(update: Update, runId: RunId): void {
  stopMembers(update, runId, ({confirmedAt}) => confirmedAt === undefined);
}

function stopMembers(
  update: Update,
  runId: RunId,
  mustStop: (member: Run) => boolean,
): void {
  const active = findActiveTask(update, runId);
  if (active === undefined || !isCurrentGangRun(active, runId)) {
    return;
  }
  for (const member of listMembers(update, active, runId)) {
    if (member.phase !== 'stopping' && mustStop(member)) {
      stopRun(update, member, 'gang-incomplete');
    }
  }
}

/** Whether the run is the latest of a gang that isn't done. */
function isCurrentGangRun({step, task}: ActiveTask, runId: RunId): boolean {
  return step.isGang && task.phase !== 'done' && task.run === runId.run;
}

/** Lists the runs of a gang that have the same number, which they share. */
function listMembers(update: Update, {step}: ActiveTask, runId: RunId): Run[] {
  const runs = update.read(RUNS);
  const members: Run[] = [];
  for (let index = 0; index < step.count; index++) {
    const member = runs.get(runKey({...runId, index}));
    if (member !== undefined) {
      members.push(member);
    }
  }
  return members;
}
