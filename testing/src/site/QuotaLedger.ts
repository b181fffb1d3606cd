import {
  type ClientAccount,
  type Resources,
  type RunId,
  runKey,
} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';

/** Share of a limit that the runs of an account may reserve, beside one task. */
const LIMIT_SHARE = 1.1;
/**
 * How long an earlier configuration may stay in force: a host may be cut off from
 * the log for 4 s, and reads the configuration within 1.3 s afterwards.
 */
const CONFIGURATION_DELAY_MILLIS = 6000;
const RESOURCE_NAMES = [
  'cpuMillis',
  'memoryMegabytes',
  'accelerators',
] as const;

interface AccountRun {
  readonly account: string;
  readonly reserved: Resources;
}

/** Sums what the runs of each account reserve on all workers, and knows the limits. */
export class QuotaLedger {
  /** Runs that reserve something, by worker and run key. */
  private readonly runs = new Map<string, AccountRun>();
  /** Configured accounts, and until when they may be in force. */
  private versions: Array<{
    accounts: readonly ClientAccount[];
    validUntil: number;
  }> = [];

  constructor(private readonly timeline: Timeline) {}

  /** Operators wrote a configuration. */
  onConfiguration(accounts: readonly ClientAccount[]): void {
    const {now} = this.timeline;
    this.versions = [
      ...this.versions.map(version => ({
        ...version,
        validUntil: Math.min(
          version.validUntil,
          now + CONFIGURATION_DELAY_MILLIS,
        ),
      })),
      {accounts, validUntil: Infinity},
    ];
  }

  /**
   * A worker started a run. Describes each resource of which the account then reserves
   * more than any configuration allows that may be in force.
   */
  onStart(runId: RunId, worker: string, run: AccountRun): string[] {
    this.runs.set(`${worker}/${runKey(runId)}`, run);
    const {now} = this.timeline;
    const limits = this.versions
      .filter(({validUntil}) => validUntil >= now)
      .map(({accounts}) => accounts.find(({name}) => name === run.account));
    if (run.account === '' || limits.length === 0) {
      return [];
    }
    return RESOURCE_NAMES.filter(
      name =>
        this.reservedBy(run.account, name) >
        greatestLimit(limits, name) * LIMIT_SHARE + run.reserved[name],
    ).map(name => {
      const reserved = this.reservedBy(run.account, name);
      return `${runKey(runId)}: ${run.account} has ${reserved} ${name}`;
    });
  }

  /** A run ended or vanished on a worker. */
  onEnd(runId: RunId, worker: string): void {
    this.runs.delete(`${worker}/${runKey(runId)}`);
  }

  /** Returns how much of a resource the runs of an account reserve. */
  reservedBy(account: string, name: keyof Resources): number {
    return [...this.runs.values()]
      .filter(run => run.account === account)
      .reduce((sum, {reserved}) => sum + reserved[name], 0);
  }
}

/** Returns the greatest limit of some configurations of an account. */
function greatestLimit(
  accounts: ReadonlyArray<ClientAccount | undefined>,
  name: keyof Resources,
): number {
  const limits = accounts.map(account => account?.limit[name] ?? 0);
  return limits.includes(0) ? Infinity : Math.max(...limits);
}
