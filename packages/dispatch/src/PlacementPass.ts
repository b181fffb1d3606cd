import type {Update} from '@samphireramp/kernel';
import type {AdviceTerms} from '@samphireramp/jobs';
import {chooseHost, hostsNearestFirst} from './adviserCalls';
import type {StepAdvice} from './adviceState';
import {
  type Candidate,
  type ReadyStep,
  deductTasks,
  hasRoomFor,
  meetsRequirements,
} from './candidates';
import {countFreeTrials, workersOnTrial} from './crashTrials';
import {GangReservations} from './gangReservations';
import type {StartQuota} from './placementFunctions';
import {TaskAllowance} from './TaskAllowance';

/**
 * Steps request advice until those ahead with the same requirements await it for
 * this many times the CPU that is free for them: not all of them get permits.
 */
const AWAITED_PER_FREE_CPU = 2;
/** The workers that meet some requirements, and the demand for them. */
interface SuitableWorkers {
  readonly candidates: readonly Candidate[];
  /** CPU that is free on them when the pass begins. */
  readonly freeCpuMillis: number;
  /** CPU that steps ahead await advice for. */
  awaitedCpuMillis: number;
}

/** One placement pass: what is still free, and what steps ahead wait for. */
export class PlacementPass {
  readonly gangReservations: GangReservations;
  readonly allowance: TaskAllowance;
  private readonly candidates: readonly Candidate[];
  /** Computed by the first step with permits. */
  private byWorkerId: ReadonlyMap<string, Candidate> | undefined;
  private readonly suitableByRequirement = new Map<string, SuitableWorkers>();
  /** Workers that had room when a step of the same need was last placed, by `fitKey`. */
  private readonly roomyByNeed = new Map<string, readonly Candidate[]>();
  /** Number of workers on which suspected tasks may still be placed. */
  private trialsLeft: number;
  /** Tasks that fit on no worker: the pass only takes from what is free. */
  private readonly unfitting = new Set<string>();
  /** Computed by the first step that needs advice. */
  private knownHosts: readonly string[] | undefined;
  /** No host takes calls of this or a longer duration now. */
  private refusedDecisionMillis = Infinity;

  constructor(
    readonly update: Update,
    /** The name of this host. */
    private readonly self: string,
    private readonly quota: StartQuota,
    candidates: readonly Candidate[],
  ) {
    this.allowance = new TaskAllowance(update);
    const onTrial = workersOnTrial(update, update.now);
    this.trialsLeft = countFreeTrials(update);
    this.candidates = candidates.filter(
      ({worker}) => !onTrial.has(worker.incarnation),
    );
    this.gangReservations = new GangReservations(
      update,
      quota,
      this.candidates,
    );
  }

  /**
   * Counts the tasks of a step that the pass may place, within its limits and those
   * of the step's account; for a gang, all or none.
   */
  mostPlacements(readyStep: ReadyStep): number {
    const {step, openTasks} = readyStep;
    const withinQuota = this.tasksWithinQuota(readyStep);
    if (step.isGang && withinQuota < openTasks.length) {
      return 0;
    }
    return Math.min(withinQuota, this.allowance.forStep(readyStep));
  }

  /** Counts the open tasks of a step that the limits of its account allow. */
  tasksWithinQuota({row, openTasks, taskResources}: ReadyStep): number {
    const {account} = row.job;
    return this.quota.mostTasks(account, taskResources, openTasks.length);
  }

  /** Counts placed tasks of a step. */
  take(readyStep: ReadyStep, tasks: number): void {
    const {row, taskResources} = readyStep;
    this.allowance.take(tasks);
    this.gangReservations.onPlaced(readyStep);
    this.quota.take(row.job.account, taskResources, tasks);
  }

  /** Records that no further task of a step without an adviser fits on any worker. */
  recordUnfitting(readyStep: ReadyStep): void {
    // A limit on one worker may be what the step lacks.
    if (readyStep.step.mostOnOneWorker === 0) {
      this.unfitting.add(this.roomKey(readyStep));
    }
  }

  /** Whether no task of a step can fit, as none of the same need did before. */
  isUnfitting(readyStep: ReadyStep): boolean {
    return (
      this.unfitting.size > 0 &&
      readyStep.policy.advice === undefined &&
      this.unfitting.has(this.roomKey(readyStep))
    );
  }

  /** Equal for steps that find the same room, limits on one worker apart. */
  private roomKey({fitKey}: ReadyStep): string {
    const {backfillableRooms} = this.gangReservations;
    return backfillableRooms === 0 ? fitKey : `${backfillableRooms} ${fitKey}`;
  }

  /** Whether a suspected task may be placed. */
  mayBeginTrial(): boolean {
    return this.trialsLeft > 0;
  }

  /** Takes a worker for one suspected task, so that no other starts beside it. */
  beginTrial(candidate: Candidate, readyStep: ReadyStep): void {
    deductTasks(candidate, readyStep, 1);
    candidate.isClosed = true;
    this.trialsLeft--;
  }

  /**
   * Lists the suitable workers of a step that it may run on: those with a permit,
   * if its queue has an adviser.
   */
  permittedFor(
    readyStep: ReadyStep,
    {permits}: StepAdvice,
  ): readonly Candidate[] {
    if (readyStep.policy.advice === undefined) {
      return this.suitableFor(readyStep);
    }
    const permitted: Candidate[] = [];
    for (const workerId of permits.keys()) {
      const candidate = this.candidateOn(workerId);
      if (candidate && meetsRequirements(candidate.worker, readyStep)) {
        permitted.push(candidate);
      }
    }
    return permitted;
  }

  private candidateOn(workerId: string): Candidate | undefined {
    this.byWorkerId ??= new Map(
      this.candidates.map(candidate => [candidate.worker.id, candidate]),
    );
    return this.byWorkerId.get(workerId);
  }

  /** Lists the workers that meet the requirements of a step. */
  suitableFor(readyStep: ReadyStep): readonly Candidate[] {
    return this.suitableWorkersOf(readyStep).candidates;
  }

  /** Lists the suitable workers that have room for a task of a step now. */
  withRoomFor(readyStep: ReadyStep): readonly Candidate[] {
    const key = this.roomKey(readyStep);
    const known = this.roomyByNeed.get(key) ?? this.suitableFor(readyStep);
    // Room is only taken, apart from backfill, so that none of the others has it again.
    const roomy = known.filter(candidate => hasRoomFor(candidate, readyStep));
    this.roomyByNeed.set(key, roomy);
    return roomy;
  }

  private suitableWorkersOf(readyStep: ReadyStep): SuitableWorkers {
    const {policy, step} = readyStep;
    const key = `${policy.pool.length} ${policy.pool} ${step.requiredLabel}`;
    const known = this.suitableByRequirement.get(key);
    if (known !== undefined) {
      return known;
    }
    const candidates = this.candidates.filter(({worker}) =>
      meetsRequirements(worker, readyStep),
    );
    // A worker that is over its capacity takes nothing from the others.
    const freeCpuMillis = candidates.reduce(
      (total, {cpuMillisAtStart}) => total + Math.max(0, cpuMillisAtStart),
      0,
    );
    const suitable = {candidates, freeCpuMillis, awaitedCpuMillis: 0};
    this.suitableByRequirement.set(key, suitable);
    return suitable;
  }

  /**
   * Whether the suitable workers of a step have free resources that no step ahead
   * awaits advice for, and a host can call the adviser now.
   */
  mayRequestAdvice(
    readyStep: ReadyStep,
    {decisionMillis}: AdviceTerms,
  ): boolean {
    const {update} = this;
    const {freeCpuMillis, awaitedCpuMillis} = this.suitableWorkersOf(readyStep);
    const isAllAwaited =
      awaitedCpuMillis > freeCpuMillis * AWAITED_PER_FREE_CPU;
    if (isAllAwaited || decisionMillis >= this.refusedDecisionMillis) {
      return false;
    }
    const host = chooseHost(
      update,
      this.nearestHosts(),
      decisionMillis,
      update.now,
    );
    if (host === undefined) {
      this.refusedDecisionMillis = decisionMillis;
      return false;
    }
    return true;
  }

  /** This host, then the others through which advice may be requested, nearest first. */
  nearestHosts(): readonly string[] {
    this.knownHosts ??= hostsNearestFirst(
      this.update,
      this.self,
      this.update.now,
    );
    return this.knownHosts;
  }

  /** Counts tasks of a step that has requested advice and waits for it. */
  addAwaited(readyStep: ReadyStep, tasks: number): void {
    const suitable = this.suitableWorkersOf(readyStep);
    suitable.awaitedCpuMillis += readyStep.taskResources.cpuMillis * tasks;
  }
}
