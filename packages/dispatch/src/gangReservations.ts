import {stepKey} from '@samphireramp/jobs';
import type {Update} from '@samphireramp/kernel';
import type {Candidate, Placement, ReadyStep} from './candidates';
import {forgetExpectedFits} from './gangFits';
import type {GangPlan} from './gangPlan';
import {KeptQuota} from './keptQuota';
import {KeptRoom} from './keptRoom';
import type {StartQuota} from './placementFunctions';
import {
  POOL_HOLDS,
  mayKeepRoom,
  recordHold,
  recordHoldSucceeded,
} from './poolHolds';
import {stepIdOf} from './readySteps';
import {
  RESERVATIONS,
  type Reservation,
  listReservedSince,
} from './reservations';

/** No further gangs get room kept once that is this share of the site's CPU. */
const MAX_KEPT_SHARE = 0.1;
/** With less than this share of its CPU in use, a pool is taken for idle. */
const IDLE_POOL_SHARE = 0.5;

/** What one placement pass keeps for gangs that wait: room, and limits of accounts. */
export class GangReservations {
  private readonly reservations: Reservation[] = [];
  private readonly keptRoom: KeptRoom;
  private readonly keptQuota: KeptQuota;
  private readonly totalCpuMillis: number;
  private keptCpuMillis = 0;
  /** Pools of the gangs for which something is kept. */
  private readonly keptPools = new Set<string>();
  /** Pools whose gangs keep a step from what it would fit into. */
  private readonly blockingPools = new Set<string>();
  /** Whether most of a pool was free when the pass began, as far as it was asked for. */
  private readonly idleByPool = new Map<string, boolean>();
  /** Computed when a gang is placed or waits. */
  private knownReservedSince: ReadonlyMap<string, number> | undefined;

  constructor(
    private readonly update: Update,
    quota: StartQuota,
    private readonly candidates: readonly Candidate[],
  ) {
    this.keptRoom = new KeptRoom(update.now);
    this.keptQuota = new KeptQuota(quota, update.now);
    this.totalCpuMillis = candidates.reduce(
      (total, {worker}) => total + worker.capacity.cpuMillis,
      0,
    );
  }

  /** Number of rooms on loan: steps of a need with the same number find the same room. */
  get lentRooms(): number {
    return this.keptRoom.lentRooms;
  }

  /**
   * Chooses placements for a step, with the loan of room and limits that runs of this
   * duration leave in time.
   */
  withLoan(
    readyStep: ReadyStep,
    expectRunMillis: () => number,
    choose: () => Placement[],
  ): Placement[] {
    if (this.keptRoom.isEmpty && this.keptQuota.isEmpty) {
      return choose();
    }
    const runMillis = expectRunMillis();
    // In a busy pool a gang would wait for each run that outlasts its estimate.
    if (this.isIdle(readyStep.policy.pool)) {
      this.keptRoom.lend(runMillis);
    }
    this.keptQuota.lend(readyStep.row.job.account, runMillis);
    const placements = choose();
    this.keptRoom.takeBack();
    this.keptQuota.takeBack();
    return placements;
  }

  /**
   * Keeps the room of a plan for a gang from the steps behind, unless gangs ahead keep
   * much already, nobody knows when the gang will fit, or room lately was kept in vain.
   */
  keepRoomFor(
    readyStep: ReadyStep,
    createPlan: () => GangPlan | undefined,
  ): void {
    const {pool} = readyStep.policy;
    if (
      this.keptCpuMillis > this.totalCpuMillis * MAX_KEPT_SHARE ||
      !mayKeepRoom(this.update, pool)
    ) {
      return;
    }
    // A plan must not take what is kept for the gangs ahead.
    this.keptRoom.takeBack();
    const plan = createPlan();
    if (plan === undefined) {
      return;
    }
    this.keptRoom.keep(readyStep, plan);
    this.keptPools.add(pool);
    const step = stepKey(stepIdOf(readyStep));
    const since = this.reservedSince().get(step) ?? this.update.now;
    for (const {candidate, tasks, kept} of plan.rooms) {
      this.keptCpuMillis += kept.cpuMillis;
      this.reservations.push({
        step,
        incarnation: candidate.worker.incarnation,
        tasks,
        resources: kept,
        since,
        until: plan.fitsAt,
      });
    }
  }

  /** Handles a step that no worker has room for, or that lacks advice. */
  onUnplaced(readyStep: ReadyStep): void {
    const {pool} = readyStep.policy;
    if (
      !this.keptRoom.isEmpty &&
      !this.blockingPools.has(pool) &&
      this.isIdle(pool) &&
      this.keptRoom.isKeptFrom(readyStep)
    ) {
      this.blockingPools.add(pool);
    }
  }

  /** Handles a step that the limits of its account leave waiting. */
  onOverQuota(readyStep: ReadyStep): void {
    const {pool} = readyStep.policy;
    this.keptQuota.takeBack();
    for (const blockingPool of this.keptQuota.listBlockingPools(readyStep)) {
      this.blockingPools.add(blockingPool);
    }
    if (readyStep.step.isGang && mayKeepRoom(this.update, pool)) {
      this.keptPools.add(pool);
      this.keptQuota.keep(readyStep);
    }
  }

  /** Handles a step that is placed. */
  onPlaced(readyStep: ReadyStep): void {
    const key = stepKey(stepIdOf(readyStep));
    if (readyStep.step.isGang && this.reservedSince().has(key)) {
      recordHoldSucceeded(this.update, readyStep.policy.pool);
    }
  }

  /** Records at the end of a pass over all steps what it has kept. */
  record(): void {
    this.update.write(RESERVATIONS).set(this.reservations);
    forgetExpectedFits(this.update);
    const pools = new Set([
      ...this.keptPools,
      ...this.update.read(POOL_HOLDS).keys(),
    ]);
    for (const pool of pools) {
      const isBlocking = this.blockingPools.has(pool) && this.isIdle(pool);
      recordHold(this.update, pool, isBlocking);
    }
  }

  private reservedSince(): ReadonlyMap<string, number> {
    this.knownReservedSince ??= listReservedSince(
      this.update.read(RESERVATIONS).get(),
    );
    return this.knownReservedSince;
  }

  private isIdle(pool: string): boolean {
    const known = this.idleByPool.get(pool);
    if (known !== undefined) {
      return known;
    }
    const isIdle = this.findIdle(pool);
    this.idleByPool.set(pool, isIdle);
    return isIdle;
  }

  private findIdle(pool: string): boolean {
    let totalCpuMillis = 0;
    let freeCpuMillis = 0;
    for (const {worker, cpuMillisAtStart} of this.candidates) {
      if (worker.pool === pool) {
        totalCpuMillis += worker.capacity.cpuMillis;
        freeCpuMillis += Math.max(0, cpuMillisAtStart);
      }
    }
    return totalCpuMillis - freeCpuMillis < totalCpuMillis * IDLE_POOL_SHARE;
  }
}
