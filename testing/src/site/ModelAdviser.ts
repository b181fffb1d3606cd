import type {Advice} from '@samphireramp/dispatch';
import {type AdviceTerms, type StepId, stepKey} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {ModelWorker} from './ModelWorker';

/** Bounds the unanswered calls of a host; further ones are answered `busy`. */
const MAX_PENDING_CALLS = 32;
/** After this time a caller gives up a call without an answer. */
const SILENT_CALL_MILLIS = 1000;

/**
 * Simulates the adviser, which forbids some workers to each step and issues
 * tickets for the others. It processes the calls of each host one at a time.
 */
export class ModelAdviser {
  /** Time at which the last accepted call will be answered, by host. */
  private readonly idleAt = new Map<string, number>();
  /** Number of unanswered calls, by host. */
  private readonly pendingCalls = new Map<string, number>();

  constructor(
    private readonly timeline: Timeline,
    private readonly workers: readonly ModelWorker[],
    /** Returns undefined for jobs of queues without advice. */
    private readonly adviceTermsOf: (jobId: string) => AdviceTerms | undefined,
    /** Number of consecutive workers that it forbids to each step. */
    private readonly forbiddenPerStep: number,
    private readonly answersAdvice: () => boolean = () => true,
  ) {}

  /** Tells which of the given workers may run a step, with tickets for them. */
  async advise(
    host: string,
    step: StepId,
    workerIds: readonly string[],
  ): Promise<Advice> {
    const terms = this.adviceTermsOf(step.jobId);
    if (terms === undefined) {
      return {kind: 'failed', detail: 'status 400'};
    }
    if (!this.answersAdvice()) {
      await new Promise<void>(resolve => {
        this.timeline.after(SILENT_CALL_MILLIS, resolve);
      });
      return {kind: 'failed', detail: 'timeout'};
    }
    const pending = this.pendingCalls.get(host) ?? 0;
    if (pending >= MAX_PENDING_CALLS) {
      return {kind: 'busy'};
    }
    this.pendingCalls.set(host, pending + 1);
    const {now} = this.timeline;
    const decisionMillis =
      terms.decisionMillis + terms.perWorkerMillis * workerIds.length;
    const answerAt = Math.max(now, this.idleAt.get(host) ?? 0) + decisionMillis;
    this.idleAt.set(host, answerAt);
    await new Promise<void>(resolve => {
      this.timeline.after(answerAt - now, resolve);
    });
    this.pendingCalls.set(host, (this.pendingCalls.get(host) ?? 1) - 1);
    const permits = this.workers
      .filter(({id}) => workerIds.includes(id) && this.isPermitted(step, id))
      .map(({id, incarnation}) => ({
        workerId: id,
        ticket: JSON.stringify([
          stepKey(step),
          incarnation,
          this.timeline.now + terms.validityMillis,
        ]),
      }));
    return {kind: 'answered', permits, validityMillis: terms.validityMillis};
  }

  /**
   * Whether a worker may start a run of a step with this ticket. Steps of queues
   * without advice need no ticket.
   */
  acceptsTicket(
    ticket: string | undefined,
    step: StepId,
    worker: ModelWorker,
  ): boolean {
    if (this.adviceTermsOf(step.jobId) === undefined) {
      return true;
    }
    if (ticket === undefined) {
      return false;
    }
    const [key, incarnation, validUntil] = JSON.parse(ticket) as [
      string,
      string,
      number,
    ];
    return (
      key === stepKey(step) &&
      incarnation === worker.incarnation &&
      this.timeline.now <= validUntil
    );
  }

  /** Whether a step may run on a worker; the answer is the same in each call. */
  private isPermitted(step: StepId, workerId: string): boolean {
    const index = this.workers.findIndex(({id}) => id === workerId);
    const count = this.workers.length;
    const firstForbidden = (parseInt(step.jobId, 16) + step.step) % count;
    return (index - firstForbidden + count) % count >= this.forbiddenPerStep;
  }
}
