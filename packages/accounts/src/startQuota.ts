import {RUNS} from '@samphireramp/fleet';
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
  /** Whether a number of tasks fits the limits of an account that runs nothing else. */
  fitsLimit(account: string, taskNeed: Resources, tasks: number): boolean;
  /** Counts tasks of an account that the pass has placed. */
  take(account: string, taskNeed: Resources, tasks: number): void;
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
    fitsLimit: (account, taskNeed, tasks) => {
      const limit = accounts.get(account)?.limit;
      return (
        limit === undefined ||
        countWithinLimit(limit, noUsage(), taskNeed, tasks) === tasks
      );
    },
    take: (account, taskNeed, tasks) => {
      if (accounts.has(account)) {
        addUsage(usageOf(account), taskNeed, tasks);
      }
    },
  };
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
