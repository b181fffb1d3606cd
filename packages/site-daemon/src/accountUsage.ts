import type {JobRow} from '@samphireramp/dispatch';
import type {Run} from '@samphireramp/fleet';
import {
  type ClientAccount,
  type Job,
  NO_ACCOUNT,
  NO_RESOURCES,
  addResources,
  type Resources,
  occurrenceDueAt,
} from '@samphireramp/jobs';

/** What a client account uses and waits for. */
export interface AccountUsage {
  readonly name: string;
  /** Due jobs of which no task has started. */
  readonly waitingJobs: number;
  /** How long the oldest of them has waited; 0 if there is none. */
  readonly oldestWaitingMillis: number;
  /** Resources that its runs reserve, until their ends are reported. */
  readonly running: Resources;
  /** Resources that its runs may reserve; 0 for no limit. */
  readonly limit: Resources;
  /** Its share of the CPU that runs of all accounts reserve, 0 to 1. */
  readonly runShare: number;
  /** Its share of the weights of the configured accounts, 0 to 1. */
  readonly weightShare: number;
}

/** State from which the usage of accounts is computed. */
export interface AccountState {
  /** The configured accounts; removed ones may still have jobs and runs. */
  readonly accounts: readonly ClientAccount[];
  readonly activeJobs: Iterable<Pick<JobRow, 'job' | 'progress'>>;
  readonly runs: Iterable<Pick<Run, 'account' | 'reserved'>>;
  /** Milliseconds since 1970. */
  readonly wallNow: number;
}

/** The usage of the busiest accounts. */
export interface AccountUsageSummary {
  readonly shown: readonly AccountUsage[];
  /** Number of accounts left out. */
  readonly notShown: number;
}

/** What is summed up for an account. */
interface UsageTotals {
  waitingJobs: number;
  oldestWaitingMillis: number;
  readonly running: {-readonly [Name in keyof Resources]: Resources[Name]};
}

/**
 * Computes the usage of the configured accounts and of removed ones that still have
 * jobs or runs. Shows at most `maxAccounts`: those with the most waiting jobs, then
 * those with the most CPU reserved.
 */
export function summarizeAccountUsage(
  {accounts, activeJobs, runs, wallNow}: AccountState,
  maxAccounts: number,
): AccountUsageSummary {
  const totalsByName = new Map<string, UsageTotals>();
  const totalsOf = (name: string): UsageTotals => {
    const known = totalsByName.get(name);
    if (known !== undefined) {
      return known;
    }
    const totals = {
      waitingJobs: 0,
      oldestWaitingMillis: 0,
      running: {...NO_RESOURCES},
    };
    totalsByName.set(name, totals);
    return totals;
  };
  accounts.forEach(({name}) => totalsOf(name));
  let runningCpuMillis = 0;
  for (const {account, reserved} of runs) {
    if (account !== NO_ACCOUNT) {
      const {running} = totalsOf(account);
      addResources(running, reserved);
      runningCpuMillis += reserved.cpuMillis;
    }
  }
  for (const {job, progress} of activeJobs) {
    if (job.account !== NO_ACCOUNT) {
      const totals = totalsOf(job.account);
      if (progress.state === 'queued' && occurrenceDueAt(job, 0) <= wallNow) {
        totals.waitingJobs++;
        totals.oldestWaitingMillis = Math.max(
          totals.oldestWaitingMillis,
          wallNow - waitingSince(job),
        );
      }
    }
  }
  const accountByName = new Map(accounts.map(each => [each.name, each]));
  const totalWeight = accounts.reduce((sum, {weight}) => sum + weight, 0);
  const usages = [...totalsByName].map(([name, totals]) => {
    const account = accountByName.get(name);
    return {
      name,
      ...totals,
      limit: account?.limit ?? NO_RESOURCES,
      runShare: shareOf(totals.running.cpuMillis, runningCpuMillis),
      weightShare: shareOf(account?.weight ?? 0, totalWeight),
    };
  });
  usages.sort(
    (a, b) =>
      b.waitingJobs - a.waitingJobs ||
      b.running.cpuMillis - a.running.cpuMillis,
  );
  const shown = usages.slice(0, maxAccounts);
  return {shown, notShown: usages.length - shown.length};
}

/** When a job was received or, if later, due; milliseconds since 1970. */
function waitingSince(job: Job): number {
  return Math.max(job.receivedAt, occurrenceDueAt(job, 0));
}

function shareOf(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}
