import type {Update} from '@samphireramp/kernel';
import {RUNS} from '@samphireramp/fleet';
import {type AdviceTerms, stepKey} from '@samphireramp/jobs';
import {chooseHost} from './adviserCalls';
import type {StepAdvice} from './adviceState';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasks,
  deductTasks,
  listCandidates,
  meetsRequirements,
} from './candidates';
import {KEPT_WORKERS, keepForTrial, readTrials} from './crashTrials';
import type {StartQuota} from './placementFunctions';
import {stepIdOf} from './readySteps';
import type {Reservation} from './reservations';
import {TaskAllowance} from './TaskAllowance';

/**
 * Steps request advice until those ahead with the same requirements await it for
 * this many times the CPU that is free for them: not all of them get permits.
 */
const AWAITED_PER_FREE_CPU = 2;
/** Share of the site's CPU that is kept for gangs that don't fit yet. */
const MAX_GATHERED_SHARE = 0.1;

/** The workers that meet some requirements, and the demand for them. */
interface SuitableWorkers {
  readonly candidates: readonly Candidate[];
  readonly byWorkerId: ReadonlyMap<string, Candidate>;
  /** CPU that is free on them when the pass begins. */
  readonly freeCpuMillis: number;
  /** CPU that steps ahead await advice for. */
  awaitedCpuMillis: number;
}

/** One placement pass: what is still free, and what steps ahead wait for. */
export class PlacementPass {
  readonly reservations: Reservation[] = [];
  readonly allowance: TaskAllowance;
  private readonly candidates: readonly Candidate[];
  private readonly suitableByRequirement = new Map<string, SuitableWorkers>();
  private readonly cpuMillisAtStart: ReadonlyMap<Candidate, number>;
  private readonly totalCpuMillis: number;
  /** Number of workers on which suspected tasks may still be placed. */
  private trialsLeft: number;
  /** Number of workers that trials may occupy at a time. */
  readonly maxTrials: number;
  /** Workers with runs of suspected tasks, by incarnation. */
  private readonly withSuspects: Set<string>;
  /** Workers that are kept for trials, and not used in this pass yet. */
  private readonly kept = new Set<Candidate>();
  private gatheredCpuMillis = 0;
  /** No host takes calls of this or a longer duration now. */
  private refusedDecisionMillis = Infinity;

  constructor(
    readonly update: Update,
    /** The name of this host. */
    readonly self: string,
    private readonly quota: StartQuota,
  ) {
    this.allowance = new TaskAllowance(update);
    const candidates = listCandidates(update, update.now);
    const trials = readTrials(update, update.now);
    this.trialsLeft = trials.freeTrials;
    this.maxTrials = trials.maxTrials;
    this.withSuspects = new Set(trials.withSuspects);
    this.candidates = candidates.filter(
      ({worker}) => !trials.exclusive.has(worker.incarnation),
    );
    for (const candidate of this.candidates) {
      if (update.read(KEPT_WORKERS).has(candidate.worker.incarnation)) {
        this.keep(candidate);
      }
    }
    this.cpuMillisAtStart = new Map(
      this.candidates.map(candidate => [candidate, candidate.cpuMillis]),
    );
    this.totalCpuMillis = this.candidates.reduce(
      (total, {worker}) => total + worker.capacity.cpuMillis,
      0,
    );
  }

  /**
   * Counts the tasks of a step that the pass may place, within its limits and those
   * of the step's account; for a gang, all or none.
   */
  mostPlacements(readyStep: ReadyStep): number {
    const {row, step, openTasks, taskResources} = readyStep;
    const withinQuota = this.quota.mostTasks(
      row.job.account,
      taskResources,
      openTasks.length,
    );
    if (step.isGang && withinQuota < openTasks.length) {
      return 0;
    }
    return Math.min(withinQuota, this.allowance.forStep(readyStep));
  }

  /** Counts placed tasks of a step. */
  take({row, taskResources}: ReadyStep, tasks: number): void {
    this.allowance.take(tasks);
    this.quota.take(row.job.account, taskResources, tasks);
  }

  /** Whether a trial may occupy a further worker, or one that is kept. */
  mayBeginTrial(): boolean {
    return this.trialsLeft > 0 || this.kept.size > 0;
  }

  /** Takes a worker for suspected tasks, so that no other starts beside them. */
  beginTrial(candidate: Candidate): void {
    if (!this.kept.delete(candidate)) {
      this.trialsLeft--;
    }
    candidate.isClosed = true;
    this.update.write(KEPT_WORKERS).delete(candidate.worker.incarnation);
  }

  /** Has a worker get no tasks until a suspected one can be tried on it alone. */
  keepForTrial(candidate: Candidate): void {
    if (!this.kept.has(candidate)) {
      this.trialsLeft--;
    }
    keepForTrial(this.update, candidate.worker.incarnation);
    this.keep(candidate);
  }

  /** Takes a kept worker for a task that waits for it in this pass. */
  claimKept(candidate: Candidate): void {
    keepForTrial(this.update, candidate.worker.incarnation);
    this.kept.delete(candidate);
  }

  private keep(candidate: Candidate): void {
    candidate.isClosed = true;
    this.kept.add(candidate);
  }

  /** Whether a worker is kept for trials, and not used in this pass yet. */
  isKept(candidate: Candidate): boolean {
    return this.kept.has(candidate);
  }

  /** How many further workers trials may occupy. */
  countFreeTrials(): number {
    return Math.max(0, this.trialsLeft);
  }

  /** Whether a worker has runs of suspected tasks. */
  hasSuspects({worker}: Candidate): boolean {
    return this.withSuspects.has(worker.incarnation);
  }

  /** Records that a suspected task is placed on a worker. */
  addSuspect({worker}: Candidate): void {
    this.withSuspects.add(worker.incarnation);
  }

  /** Counts the runs on a worker. */
  countRuns({worker}: Candidate): number {
    return this.update.read(RUNS).withKey(worker.incarnation).length;
  }

  /**
   * Lists the suitable workers of a step that it may run on: those with a permit,
   * if its queue has an adviser.
   */
  permittedFor(
    readyStep: ReadyStep,
    {permits}: StepAdvice,
  ): readonly Candidate[] {
    const {candidates, byWorkerId} = this.suitableWorkersOf(readyStep);
    if (readyStep.policy.advice === undefined) {
      return candidates;
    }
    const permitted: Candidate[] = [];
    for (const workerId of permits.keys()) {
      const candidate = byWorkerId.get(workerId);
      if (candidate !== undefined) {
        permitted.push(candidate);
      }
    }
    return permitted;
  }

  /** Lists the workers that meet the requirements of a step. */
  suitableFor(readyStep: ReadyStep): readonly Candidate[] {
    return this.suitableWorkersOf(readyStep).candidates;
  }

  private suitableWorkersOf(readyStep: ReadyStep): SuitableWorkers {
    const {policy, step} = readyStep;
    const key = JSON.stringify([policy.pool, step.requiredLabel]);
    const known = this.suitableByRequirement.get(key);
    if (known !== undefined) {
      return known;
    }
    const candidates = this.candidates.filter(({worker}) =>
      meetsRequirements(worker, readyStep),
    );
    // A worker that is over its capacity takes nothing from the others.
    const freeCpuMillis = candidates.reduce(
      (total, each) =>
        total + Math.max(0, this.cpuMillisAtStart.get(each) ?? 0),
      0,
    );
    const byWorkerId = new Map(
      candidates.map(candidate => [candidate.worker.id, candidate]),
    );
    const awaitedCpuMillis = 0;
    const suitable = {candidates, byWorkerId, freeCpuMillis, awaitedCpuMillis};
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
    const {update, self} = this;
    const {freeCpuMillis, awaitedCpuMillis} = this.suitableWorkersOf(readyStep);
    const isAllAwaited =
      awaitedCpuMillis > freeCpuMillis * AWAITED_PER_FREE_CPU;
    if (isAllAwaited || decisionMillis >= this.refusedDecisionMillis) {
      return false;
    }
    if (chooseHost(update, self, decisionMillis, update.now) === undefined) {
      this.refusedDecisionMillis = decisionMillis;
      return false;
    }
    return true;
  }

  /** Counts tasks of a step that has requested advice and waits for it. */
  addAwaited(readyStep: ReadyStep, tasks: number): void {
    const suitable = this.suitableWorkersOf(readyStep);
    suitable.awaitedCpuMillis += readyStep.taskResources.cpuMillis * tasks;
  }

  /** Keeps resources on a worker from the steps behind. */
  reserve(candidate: Candidate, readyStep: ReadyStep, tasks: number): void {
    if (tasks > 0) {
      deductTasks(candidate, readyStep, tasks);
      this.reservations.push({
        step: stepKey(stepIdOf(readyStep)),
        incarnation: candidate.worker.incarnation,
        tasks,
        taskResources: readyStep.taskResources,
      });
    }
  }

  /**
   * Keeps the resources that are free now for a gang that doesn't fit yet, unless
   * more urgent ones gather a large share of the site already.
   */
  gather(permitted: readonly Candidate[], readyStep: ReadyStep): void {
    const limit = this.totalCpuMillis * MAX_GATHERED_SHARE;
    if (this.gatheredCpuMillis > limit) {
      return;
    }
    for (const candidate of permitted) {
      const tasks = countFittingTasks(candidate, readyStep);
      this.reserve(candidate, readyStep, tasks);
      this.gatheredCpuMillis += readyStep.taskResources.cpuMillis * tasks;
    }
  }
}
