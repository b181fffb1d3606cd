import type {Update} from '@samphireramp/kernel';
import {type AdviceTerms, stepKey} from '@samphireramp/jobs';
import {chooseHost} from './adviserCalls';
import {
  type Candidate,
  type ReadyStep,
  countFittingTasks,
  deductTasks,
  listCandidates,
  meetsRequirements,
} from './candidates';
import {stepIdOf} from './readySteps';
import type {Reservation} from './reservations';

/**
 * Steps request advice until those ahead await it for this many times the CPU
 * that is free: not all of them get permits for it.
 */
const AWAITED_PER_FREE_CPU = 2;
/** Share of the site's CPU that is kept for gangs that don't fit yet. */
const MAX_GATHERED_SHARE = 0.1;

/** One placement pass: what is still free, and what steps ahead wait for. */
export class PlacementPass {
  readonly reservations: Reservation[] = [];
  private readonly candidates: readonly Candidate[];
  private readonly suitableByRequirement = new Map<
    string,
    readonly Candidate[]
  >();
  private readonly freeCpuMillis: number;
  private readonly totalCpuMillis: number;
  private awaitedCpuMillis = 0;
  private gatheredCpuMillis = 0;
  /** No host takes calls of this or a longer duration now. */
  private refusedDecisionMillis = Infinity;

  constructor(
    readonly update: Update,
    /** The name of this host. */
    readonly self: string,
  ) {
    this.candidates = listCandidates(update, update.now);
    const sum = (cpuMillis: (candidate: Candidate) => number) =>
      this.candidates.reduce((total, each) => total + cpuMillis(each), 0);
    this.freeCpuMillis = sum(({cpuMillis}) => cpuMillis);
    this.totalCpuMillis = sum(({worker}) => worker.capacity.cpuMillis);
  }

  /** Lists the workers that meet the requirements of a step. */
  suitableFor(readyStep: ReadyStep): readonly Candidate[] {
    const {policy, step} = readyStep;
    const key = JSON.stringify([policy.pool, step.requiredLabel]);
    const known = this.suitableByRequirement.get(key);
    if (known !== undefined) {
      return known;
    }
    const suitable = this.candidates.filter(({worker}) =>
      meetsRequirements(worker, readyStep),
    );
    this.suitableByRequirement.set(key, suitable);
    return suitable;
  }

  /**
   * Whether free resources are left that no step ahead awaits advice for, and a
   * host can call the adviser now.
   */
  mayRequestAdvice({decisionMillis}: AdviceTerms): boolean {
    const {update, self} = this;
    const isAllAwaited =
      this.awaitedCpuMillis > this.freeCpuMillis * AWAITED_PER_FREE_CPU;
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
  addAwaited({taskResources}: ReadyStep, tasks: number): void {
    this.awaitedCpuMillis += taskResources.cpuMillis * tasks;
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
