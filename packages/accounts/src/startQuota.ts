import {
  type ExpectedRelease,
  RUNS,
  expectedEndOf,
  postponeOverdue,
} from '@samphireramp/fleet';
import {
  type ClientAccount,
  NO_ACCOUNT,
  RESOURCE_NAMES,
  type Resources,
} from '@samphireramp/jobs';
import type {StateReader} from '@samphireramp/kernel';
import {type ClientAccountsOf, accountsByName} from './accountsByName';

const NO_ACCOUNTS: readonly ClientAccount[] = [];

/** What accounts may still start in one placement pass. */
export interface AccountQuota {
  /** Of a number of tasks of an account, how many may start. */
  mostTasks(account: string, taskNeed: Resources, tasks: number): number;
  /**
   * When a number of tasks is expected to fit the limits of an account, on the
   * runtime's monotonic clock; undefined if no such time is known.
   */
  fitsAt(
    account: string,
    taskNeed: Resources,
    tasks: number,
    now: number,
  ): number | undefined;
  /** Counts tasks of an account that the pass has placed, or keeps the limits for. */
  take(account: string, taskNeed: Resources, tasks: number): void;
  /** Counts tasks no more that `take` has counted. */
  giveBack(account: string, taskNeed: Resources, tasks: number): void;
}

/** Resources in use, which placement adds to. */
type Usage = Record<keyof Resources, number>;

/**
 * Creates the quota of one placement pass. The use of each account is the sum of
 * what its runs reserve, including runs without an answer and runs being stopped,
 * and is summed when the first account with a limit asks.
 */
export function createStartQuota(
  state: StateReader,
  clientAccountsOf: ClientAccountsOf,
): AccountQuota {
  const configured = clientAccountsOf(state);
  const accounts = accountsByName(configured ?? NO_ACCOUNTS);
  let usageByAccount: Map<string, Usage> | undefined;
  const releasesByAccount = new Map<string, readonly ExpectedRelease[]>();

  function usageOf(account: string): Usage {
    usageByAccount ??= sumUsage(state);
    const known = usageByAccount.get(account);
    if (known !== undefined) {
      return known;
    }
    const usage = noUsage();
    usageByAccount.set(account, usage);
    return usage;
  }

  function releasesOf(
    account: string,
    now: number,
  ): readonly ExpectedRelease[] {
    const known = releasesByAccount.get(account);
    if (known !== undefined) {
      return known;
    }
    const releases = listReleases(state, account, now);
    releasesByAccount.set(account, releases);
    return releases;
  }

  return {
    mostTasks: (account, taskNeed, tasks) => {
      if (configured === undefined && account !== NO_ACCOUNT) {
        // Its limit isn't known before a configuration has been read.
        return 0;
      }
      const limit = accounts.get(account)?.limit;
      return limit === undefined || !isLimited(limit)
        ? tasks
        : countWithinLimit(limit, usageOf(account), taskNeed, tasks);
    },
    fitsAt: (account, taskNeed, tasks, now) => {
      const limit = accounts.get(account)?.limit;
      if (limit === undefined) {
        return now;
      }
      const usage = {...usageOf(account)};
      const fits = () =>
        countWithinLimit(limit, usage, taskNeed, tasks) === tasks;
      if (fits()) {
        return now;
      }
      for (const {at, resources} of releasesOf(account, now)) {
        addUsage(usage, resources, -1);
        if (fits()) {
          return at;
        }
      }
      return undefined;
    },
    take: (account, taskNeed, tasks) => {
      if (accounts.has(account)) {
        addUsage(usageOf(account), taskNeed, tasks);
      }
    },
    giveBack: (account, taskNeed, tasks) => {
      if (accounts.has(account)) {
        addUsage(usageOf(account), taskNeed, -tasks);
      }
    },
  };
}

/** Lists what the runs of an account are expected to release, the first one first. */
function listReleases(
  state: StateReader,
  account: string,
  now: number,
): ExpectedRelease[] {
  return [...state.read(RUNS).values()]
    .filter(run => run.account === account)
    .map(run => ({
      at: postponeOverdue(expectedEndOf(run), now),
      resources: run.reserved,
    }))
    .filter(({at}) => Number.isFinite(at))
    .sort((a, b) => a.at - b.at);
}

/** Sums what the runs of each account reserve. */
export function sumUsage(state: StateReader): Map<string, Usage> {
  const usageByAccount = new Map<string, Usage>();
  for (const {account, reserved} of state.read(RUNS).values()) {
    let usage = usageByAccount.get(account);
    if (usage === undefined) {
      usage = noUsage();
      usageByAccount.set(account, usage);
    }
    addUsage(usage, reserved, 1);
  }
  return usageByAccount;
}

/**
 * Counts the tasks that fit under a limit. None does if more is in use than the
 * limit allows, even if the task needs none of what is exceeded.
 */
function countWithinLimit(
  limit: Resources,
  usage: Resources,
  taskNeed: Resources,
  tasks: number,
): number {
  let most = tasks;
  for (const name of RESOURCE_NAMES) {
    if (limit[name] > 0) {
      const left = limit[name] - usage[name];
      if (left < 0) {
        return 0;
      }
      if (taskNeed[name] > 0) {
        most = Math.min(most, Math.floor(left / taskNeed[name]));
      }
    }
  }
  return most;
}

function isLimited(limit: Resources): boolean {
  return RESOURCE_NAMES.some(name => limit[name] > 0);
}

function noUsage(): Usage {
  return {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
}

function addUsage(usage: Usage, need: Resources, tasks: number): void {
  for (const name of RESOURCE_NAMES) {
    usage[name] += need[name] * tasks;
  }
}
