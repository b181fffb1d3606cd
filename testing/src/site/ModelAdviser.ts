import type {Advice} from '@samphireramp/dispatch';
import {type AdviceTerms, type StepId, stepKey} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {ModelWorker} from './ModelWorker';

/** Calls of one host that may wait. */
const MOST_WAITING = 32;

/** Knows which workers may run a step, and tells for one call a host at a time. */
export class ModelAdviser {
  private readonly freeAt = new Map<string, number>();
  private readonly waiting = new Map<string, number>();

  constructor(
    private readonly queue: Timeline,
    private readonly workers: readonly ModelWorker[],
    private readonly termsOf: (jobId: string) => AdviceTerms | undefined,
    /** Workers that no start of a step may go to, for each step. */
    private readonly forbidden: number,
  ) {}

  /** Answers a call that a host makes, after those it made before. */
  async advise(
    host: string,
    step: StepId,
    workerIds: readonly string[],
  ): Promise<Advice> {
    const terms = this.termsOf(step.jobId);
    if (terms === undefined) {
      return {kind: 'failed', detail: 'status 400'};
    }
    const waiting = this.waiting.get(host) ?? 0;
    if (waiting >= MOST_WAITING) {
      return {kind: 'busy'};
    }
    this.waiting.set(host, waiting + 1);
    const {now} = this.queue;
    const millis =
      terms.decisionMillis + terms.perWorkerMillis * workerIds.length;
    const answerAt = Math.max(now, this.freeAt.get(host) ?? 0) + millis;
    this.freeAt.set(host, answerAt);
    await new Promise<void>(resolve => {
      this.queue.after(answerAt - now, resolve);
    });
    this.waiting.set(host, (this.waiting.get(host) ?? 1) - 1);
    const permits = this.workers
      .filter(({id}) => workerIds.includes(id) && this.allows(step, id))
      .map(({id, incarnation: life}) => ({
        workerId: id,
        ticket: JSON.stringify([
          stepKey(step),
          life,
          this.queue.now + terms.validityMillis,
        ]),
      }));
    return {kind: 'answered', permits, validityMillis: terms.validityMillis};
  }

  /** Whether a start of a step may go to a worker with this ticket. */
  accepts(
    ticket: string | undefined,
    step: StepId,
    worker: ModelWorker,
  ): boolean {
    if (this.termsOf(step.jobId) === undefined) {
      return true;
    }
    if (ticket === undefined) {
      return false;
    }
    const [key, life, validUntil] = JSON.parse(ticket) as [
      string,
      string,
      number,
    ];
    return (
      key === stepKey(step) &&
      life === worker.incarnation &&
      this.queue.now <= validUntil
    );
  }

  /** The same few workers, one after another, are forbidden to a step. */
  private allows(step: StepId, workerId: string): boolean {
    const index = this.workers.findIndex(({id}) => id === workerId);
    const count = this.workers.length;
    const first = (parseInt(step.jobId, 16) + step.step) % count;
    return (index - first + count) % count >= this.forbidden;
  }
}
