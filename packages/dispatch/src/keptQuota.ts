import type {Resources} from '@samphireramp/jobs';
import type {ReadyStep} from './candidates';
import type {StartQuota} from './placementFunctions';

/** What is kept of the limits of an account for a gang. */
interface KeptShare {
  readonly account: string;
  readonly pool: string;
  readonly taskNeed: Resources;
  readonly tasks: number;
  /** The gang is expected to use it from this time on, on the monotonic clock. */
  readonly until: number;
}

/**
 * What a pass keeps of the limits of accounts for gangs that wait for them. Otherwise
 * smaller steps of the account could take that again and again. A step that is expected to
 * end before the gang begins gets it on loan.
 */
export class KeptQuota {
  private readonly shares: KeptShare[] = [];
  private readonly lent: KeptShare[] = [];

  constructor(
    private readonly quota: StartQuota,
    private readonly now: number,
  ) {}

  /** Whether no limits are kept. */
  get isEmpty(): boolean {
    return this.shares.length === 0;
  }

  /** Keeps the limits of its account for a gang, if it is known when it will fit. */
  keep({row, policy, openTasks, taskResources: taskNeed}: ReadyStep): void {
    const {account} = row.job;
    const tasks = openTasks.length;
    const until = this.quota.fitsAt(account, taskNeed, tasks, this.now);
    if (until !== undefined) {
      this.shares.push({account, pool: policy.pool, taskNeed, tasks, until});
      this.quota.take(account, taskNeed, tasks);
    }
  }

  /** Lends what runs of this duration leave in time to a step of an account. */
  lend(account: string, runMillis: number): void {
    for (const share of this.shares) {
      if (share.account === account && this.now + runMillis <= share.until) {
        this.lent.push(share);
        this.giveBack(share);
      }
    }
  }

  /** Ends the loan. */
  takeBack(): void {
    for (const share of this.lent.splice(0)) {
      this.quota.take(share.account, share.taskNeed, share.tasks);
    }
  }

  /** Lists the pools of the gangs for which limits are kept that a step would fit into. */
  listBlockingPools({
    row,
    step,
    openTasks,
    taskResources,
  }: ReadyStep): string[] {
    const {account} = row.job;
    const shares = this.shares.filter(share => share.account === account);
    if (shares.length === 0) {
      return [];
    }
    shares.forEach(share => this.giveBack(share));
    const tasks = step.isGang ? openTasks.length : 1;
    const fits = this.quota.mostTasks(account, taskResources, tasks) >= tasks;
    for (const share of shares) {
      this.quota.take(share.account, share.taskNeed, share.tasks);
    }
    return fits ? shares.map(({pool}) => pool) : [];
  }

  private giveBack({account, taskNeed, tasks}: KeptShare): void {
    this.quota.giveBack(account, taskNeed, tasks);
  }
}
