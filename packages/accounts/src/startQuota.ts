import {
  type ExpectedRelease,
  RUNS,
  listExpectedReleases,
} from '@samphireramp/fleet';
import {
  type ClientAccount,
  NO_ACCOUNT,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
  addResources,
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
  let usageByAccount: Map<string, Resources> | undefined;
  const releasesByAccount = new Map<string, readonly ExpectedRelease[]>();

  function usageOf(account: string): Resources {
    usageByAccount ??= sumUsage(state);
    const known = usageByAccount.get(account);
    if (known !== undefined) {
      return known;
    }
    const usage = {...NO_RESOURCES};
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
    const runs = [...state.read(RUNS).values()];
    const releases = listExpectedReleases(
      runs.filter(run => run.account === account),
      now,
    );
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
        addResources(usage, resources, -1);
        if (fits()) {
          return at;
        }
      }
      return undefined;
    },
    take: (account, taskNeed, tasks) => {
      if (accounts.has(account)) {
        addResources(usageOf(account), taskNeed, tasks);
      }
    },
    giveBack: (account, taskNeed, tasks) => {
      if (accounts.has(account)) {
        addResources(usageOf(account), taskNeed, -tasks);
      }
    },
  };
}

/** Sums what the runs of each account reserve. */
export function sumUsage(state: StateReader): Map<string, Resources> {
  const usageByAccount = new Map<string, Resources>();
  for (const {account, reserved} of state.read(RUNS).values()) {
    let usage = usageByAccount.get(account);
    if (usage === undefined) {
      usage = {...NO_RESOURCES};
      usageByAccount.set(account, usage);
    }
    addResources(usage, reserved);
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
