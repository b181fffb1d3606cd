import {stepKey} from '@samphireramp/jobs';
import type {Update} from '@samphireramp/kernel';
import type {Candidate, Placement, ReadyStep} from './candidates';
import {forgetExpectedFits} from './expectedFits';
import type {GangPlan} from './gangPlan';
import type {StartQuota} from './placementFunctions';
import {QuotaReservations} from './quotaReservations';
import {stepIdOf} from './readySteps';
import {
  RESERVATION_PAUSES,
  mayReserve,
  recordBlocking,
  recordReservationUsed,
} from './reservationPauses';
import {
  RESERVATIONS,
  type Reservation,
  listReservedSince,
} from './reservations';
import {RoomReservations} from './roomReservations';

/** No further gangs get room reserved once that is this share of the site's CPU. */
const MAX_RESERVED_SHARE = 0.1;
/** With less than this share of its CPU in use, a pool is taken for idle. */
const IDLE_POOL_SHARE = 0.5;

/** What one placement pass reserves for gangs that wait: room, and limits of accounts. */
export class GangReservations {
  private readonly reservations: Reservation[] = [];
  private readonly rooms: RoomReservations;
  private readonly quotas: QuotaReservations;
  private readonly totalCpuMillis: number;
  private reservedCpuMillis = 0;
  /** Idle pools in which reservations leave a step waiting. */
  private readonly blockedPools = new Set<string>();
  /** Whether pools were idle when the pass began, as far as that was asked. */
  private readonly idleByPool = new Map<string, boolean>();
  /** Computed when a gang is placed or waits. */
  private knownReservedSince: ReadonlyMap<string, number> | undefined;

  constructor(
    private readonly update: Update,
    quota: StartQuota,
    private readonly candidates: readonly Candidate[],
  ) {
    this.rooms = new RoomReservations(update.now);
    this.quotas = new QuotaReservations(quota, update.now);
    this.totalCpuMillis = candidates.reduce(
      (total, {worker}) => total + worker.capacity.cpuMillis,
      0,
    );
  }

  /** Number of rooms open for backfill: a need finds the same room for the same number. */
  get backfillableRooms(): number {
    return this.rooms.backfillableRooms;
  }

  /**
   * Chooses placements for a step, which may use what is reserved if its runs are
   * expected to end before the gangs begin.
   */
  withBackfill(
    readyStep: ReadyStep,
    expectRunMillis: () => number,
    choose: () => Placement[],
  ): Placement[] {
    if (this.rooms.isEmpty && this.quotas.isEmpty) {
      return choose();
    }
    const runMillis = expectRunMillis();
    // In a busy pool a gang would wait for each run that outlasts its estimate.
    if (this.isIdle(readyStep.policy.pool)) {
      this.rooms.beginBackfill(runMillis);
    }
    this.quotas.beginBackfill(readyStep.row.job.account, runMillis);
    const placements = choose();
    this.rooms.endBackfill();
    this.quotas.endBackfill();
    return placements;
  }

  /**
   * Reserves the room of a plan for a gang, unless gangs ahead have much already, nobody
   * knows when the gang will fit, or reservations in its pool are paused.
   */
  reserveRoom(
    readyStep: ReadyStep,
    createPlan: () => GangPlan | undefined,
  ): void {
    const {taskResources, policy} = readyStep;
    if (
      this.reservedCpuMillis > this.totalCpuMillis * MAX_RESERVED_SHARE ||
      !mayReserve(this.update, policy.pool)
    ) {
      return;
    }
    // What is reserved for the gangs ahead must not be planned.
    this.rooms.endBackfill();
    const plan = createPlan();
    if (plan === undefined) {
      return;
    }
    this.rooms.reserve(readyStep, plan);
    const step = stepKey(stepIdOf(readyStep));
    const since = this.reservedSince().get(step) ?? this.update.now;
    const until = plan.fitsAt;
    for (const [{worker}, tasks] of plan.tasksByCandidate) {
      const {incarnation} = worker;
      this.reservedCpuMillis += taskResources.cpuMillis * tasks;
      this.reservations.push({
        step,
        incarnation,
        tasks,
        taskResources,
        since,
        until,
      });
    }
  }

  /** Handles a step that no worker has room for, or that lacks advice. */
  onUnplaced(readyStep: ReadyStep): void {
    const {pool} = readyStep.policy;
    if (
      !this.rooms.isEmpty &&
      !this.blockedPools.has(pool) &&
      this.isIdle(pool) &&
      this.rooms.isBlocking(readyStep)
    ) {
      this.blockedPools.add(pool);
    }
  }

  /** Handles a step that the limits of its account leave waiting. */
  onOverQuota(readyStep: ReadyStep): void {
    const {pool} = readyStep.policy;
    this.quotas.endBackfill();
    for (const blockedPool of this.quotas.listBlockingPools(readyStep)) {
      if (this.isIdle(blockedPool)) {
        this.blockedPools.add(blockedPool);
      }
    }
    if (readyStep.step.isGang && mayReserve(this.update, pool)) {
      this.quotas.reserve(readyStep);
    }
  }

  /** Handles a step that is placed. */
  onPlaced(readyStep: ReadyStep): void {
    const key = stepKey(stepIdOf(readyStep));
    if (readyStep.step.isGang && this.reservedSince().has(key)) {
      recordReservationUsed(this.update, readyStep.policy.pool);
    }
  }

  /** Records at the end of a pass over all steps what it has reserved. */
  record(): void {
    const {update, blockedPools} = this;
    update.write(RESERVATIONS).set(this.reservations);
    forgetExpectedFits(update);
    const known = update.read(RESERVATION_PAUSES).keys();
    for (const pool of new Set([...blockedPools, ...known])) {
      recordBlocking(update, pool, blockedPools.has(pool));
    }
  }

  private reservedSince(): ReadonlyMap<string, number> {
    this.knownReservedSince ??= listReservedSince(
      this.update.read(RESERVATIONS).get(),
    );
    return this.knownReservedSince;
  }

  private isIdle(pool: string): boolean {
    const isIdle =
      this.idleByPool.get(pool) ?? isPoolIdle(this.candidates, pool);
    this.idleByPool.set(pool, isIdle);
    return isIdle;
  }
}

/** Whether little of the CPU of a pool was in use when the pass began. */
function isPoolIdle(candidates: readonly Candidate[], pool: string): boolean {
  let totalCpuMillis = 0;
  let freeCpuMillis = 0;
  for (const {worker, cpuMillisAtStart} of candidates) {
    if (worker.pool === pool) {
      totalCpuMillis += worker.capacity.cpuMillis;
      freeCpuMillis += Math.max(0, cpuMillisAtStart);
    }
  }
  return totalCpuMillis - freeCpuMillis < totalCpuMillis * IDLE_POOL_SHARE;
}
