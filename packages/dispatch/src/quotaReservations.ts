import type {Resources} from '@samphireramp/jobs';
import type {ReadyStep} from './candidates';
import type {StartQuota} from './placementFunctions';

/** What is reserved of the limits of an account for a gang. */
interface ReservedQuota {
  readonly account: string;
  readonly pool: string;
  readonly taskNeed: Resources;
  readonly tasks: number;
  /** The gang is expected to use it from this time on, on the monotonic clock. */
  readonly until: number;
}

/**
 * What a pass reserves of the limits of accounts for gangs that wait for them, and its
 * backfill. Without it smaller steps of the account could use that again and again.
 */
export class QuotaReservations {
  private readonly reserved: ReservedQuota[] = [];
  /** What the present step may use, as it ends before the gangs begin. */
  private readonly backfillable: ReservedQuota[] = [];

  constructor(
    private readonly quota: StartQuota,
    private readonly now: number,
  ) {}

  /** Whether nothing is reserved. */
  get isEmpty(): boolean {
    return this.reserved.length === 0;
  }

  /** Reserves the limits of its account for a gang, if it is known when it will fit. */
  reserve({row, policy, openTasks, taskResources: taskNeed}: ReadyStep): void {
    const {account} = row.job;
    const tasks = openTasks.length;
    const until = this.quota.fitsAt(account, taskNeed, tasks, this.now);
    if (until !== undefined) {
      this.reserved.push({account, pool: policy.pool, taskNeed, tasks, until});
      this.quota.take(account, taskNeed, tasks);
    }
  }

  /** Frees the limits of an account for runs of this duration that end before the gangs begin. */
  beginBackfill(account: string, runMillis: number): void {
    for (const each of this.reserved) {
      if (each.account === account && this.now + runMillis <= each.until) {
        this.backfillable.push(each);
        this.giveBack(each);
      }
    }
  }

  /** Reserves the freed limits again. */
  endBackfill(): void {
    this.backfillable.splice(0).forEach(each => this.take(each));
  }

  /** Lists the pools of the gangs whose reservations keep a step from its account's limits. */
  listBlockingPools({
    row,
    step,
    openTasks,
    taskResources,
  }: ReadyStep): string[] {
    const {account} = row.job;
    const ofAccount = this.reserved.filter(each => each.account === account);
    const tasks = step.isGang ? openTasks.length : 1;
    ofAccount.forEach(each => this.giveBack(each));
    const fits = this.quota.mostTasks(account, taskResources, tasks) >= tasks;
    ofAccount.forEach(each => this.take(each));
    return fits ? ofAccount.map(({pool}) => pool) : [];
  }

  private take({account, taskNeed, tasks}: ReservedQuota): void {
    this.quota.take(account, taskNeed, tasks);
  }

  private giveBack({account, taskNeed, tasks}: ReservedQuota): void {
    this.quota.giveBack(account, taskNeed, tasks);
  }
}
