import {createTableSlice, type Update} from '@samphireramp/kernel';
import {
  NO_ACCOUNT,
  NO_RESOURCES,
  type Resources,
  stepKey,
} from '@samphireramp/jobs';
import type {ReadyStep} from './candidates';
import type {PlacementFunctions, StartQuota} from './placementFunctions';
import {stepIdOf} from './readySteps';

/** Names of the resources in log lines. */
const RESOURCE_NAMES = {
  cpuMillis: 'cpu',
  memoryMegabytes: 'memory',
  accelerators: 'accelerators',
} as const satisfies Record<keyof Resources, string>;

/** Name of a resource in log lines; `account` if no single one is at its limit. */
type LimitName =
  (typeof RESOURCE_NAMES)[keyof typeof RESOURCE_NAMES] | 'account';

/** Since when a step waits for each limit of its account. */
type LimitedSince = Readonly<Partial<Record<LimitName, number>>>;

/** Since when steps wait for limits of their accounts, by step key. */
export const LIMITED_SINCE = createTableSlice<LimitedSince>('limited-since');

/** Finds the limits of accounts that waiting steps meet, in one check of them. */
export class AccountWaits {
  private quota: StartQuota | undefined;
  /** Accounts and their limits of which a step has been reported. */
  private readonly reportedLimits = new Set<string>();

  constructor(
    private readonly update: Update,
    private readonly createStartQuota: PlacementFunctions['createStartQuota'],
  ) {}

  /** Records which limits of its account keep a step from starting a task now. */
  observe(readyStep: ReadyStep): void {
    const {account} = readyStep.row.job;
    if (account === NO_ACCOUNT) {
      return;
    }
    this.quota ??= this.createStartQuota(this.update);
    const limits = listLimits(this.quota, readyStep);
    const key = stepKey(stepIdOf(readyStep));
    const table = this.update.write(LIMITED_SINCE);
    const before = table.get(key);
    if (limits.length === 0) {
      table.delete(key);
    } else if (
      before === undefined ||
      String(Object.keys(before)) !== String(limits)
    ) {
      const since = limits.map(name => [
        name,
        before?.[name] ?? this.update.now,
      ]);
      table.set(key, Object.fromEntries(since) as LimitedSince);
    }
  }

  /**
   * Whether a step is the first to be reported that waits for these limits of its
   * account, or waits for none. Otherwise an account with a long backlog would hide
   * why others wait.
   */
  isReportable(readyStep: ReadyStep): boolean {
    const limits = this.update
      .read(LIMITED_SINCE)
      .get(stepKey(stepIdOf(readyStep)));
    if (limits === undefined) {
      return true;
    }
    const key = JSON.stringify([
      readyStep.row.job.account,
      Object.keys(limits),
    ]);
    const isFirst = !this.reportedLimits.has(key);
    this.reportedLimits.add(key);
    return isFirst;
  }
}

/** Forgets the steps that don't wait any more. */
export function forgetLimitsExcept(
  update: Update,
  waitingSteps: ReadonlyMap<string, unknown>,
): void {
  const table = update.write(LIMITED_SINCE);
  for (const key of [...table.keys()]) {
    if (!waitingSteps.has(key)) {
      table.delete(key);
    }
  }
}

/**
 * Formats the limits that a step waits for, and for how many milliseconds, as in
 * `cpu:2100,memory:1000`; undefined if it waits for none.
 */
export function describeLimits(
  update: Update,
  key: string,
): string | undefined {
  const since = update.read(LIMITED_SINCE).get(key);
  return (
    since &&
    Object.entries(since)
      .map(([name, time]) => `${name}:${Math.round(update.now - time)}`)
      .join(',')
  );
}

/** Lists the limits that keep a step from starting a task or, for a gang, all. */
function listLimits(
  quota: StartQuota,
  {row, step, openTasks, taskResources}: ReadyStep,
): LimitName[] {
  const {account} = row.job;
  const tasks = step.isGang ? openTasks.length : 1;
  if (quota.mostTasks(account, taskResources, tasks) >= tasks) {
    return [];
  }
  const resources = Object.keys(RESOURCE_NAMES) as (keyof Resources)[];
  const limits = resources
    .filter(resource => {
      const need = {...NO_RESOURCES, [resource]: taskResources[resource]};
      return (
        need[resource] > 0 && quota.mostTasks(account, need, tasks) < tasks
      );
    })
    .map(resource => RESOURCE_NAMES[resource]);
  return limits.length > 0 ? limits : ['account'];
}
