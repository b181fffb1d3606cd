import type {
  Declaration,
  ExchangeAnswer,
  ExchangeRequest,
  ExecuteAnswer,
  ExecuteRequest,
} from '@samphireramp/model';
import {toResourceVector} from '@samphireramp/model';
import {WorkerModel, runFromInput} from '@samphireramp/stand-ins';
import type {EventQueue} from './EventQueue';

/** A worker model on virtual time, with a clock that drifts. */
export class VirtualWorker {
  isReachable = true;
  /** Times that each request began, by its identifier. */
  readonly begun = new Map<string, number>();
  model: WorkerModel;
  private run = 0;
  private readonly answers = new Map<string, ExecuteAnswer | undefined>();

  constructor(
    private readonly queue: EventQueue,
    readonly declaration: Declaration['workers'][number],
    private readonly leaseMillis: number,
    /** Parts by which the clock runs fast or slow. */
    private readonly drift: number,
  ) {
    this.model = this.createModel(-leaseMillis);
  }

  get clock(): number {
    return 1000 + this.queue.now * (1 + this.drift);
  }

  exchange(request: ExchangeRequest): ExchangeAnswer {
    return this.model.exchange(request, this.clock);
  }

  /** Answers once, however often the same request comes. */
  execute(
    request: ExecuteRequest,
    answer: (answer: ExecuteAnswer) => void,
  ): void {
    const {requestId, attempt} = request;
    if (this.answers.has(requestId)) {
      const known = this.answers.get(requestId);
      if (known !== undefined) {
        answer({...known, attempt});
      }
      return;
    }
    const refusal = this.model.beginExecution(request, this.clock);
    if (refusal !== undefined) {
      answer({requestId, attempt, refusal});
      return;
    }
    this.begun.set(requestId, (this.begun.get(requestId) ?? 0) + 1);
    this.answers.set(requestId, undefined);
    const model = this.model;
    const left = (request.endBy - this.clock) / (1 + this.drift);
    const millis = Math.min(runFromInput(request).millis, left);
    this.queue.after(Math.max(0, millis), () => {
      model.endExecution(requestId);
      const whole = {requestId, attempt, output: request.input};
      this.answers.set(requestId, whole);
      answer(whole);
    });
  }

  /** Loses all that ran; the next run grants nothing for one lease. */
  restart(): void {
    this.run++;
    this.answers.clear();
    this.model = this.createModel(this.clock);
  }

  private createModel(startedAt: number): WorkerModel {
    return new WorkerModel({
      name: this.declaration.name,
      incarnation: `${this.declaration.name}.${this.run}`,
      capacity: toResourceVector(this.declaration.capacity),
      startedAt,
      quietMillis: this.leaseMillis,
      usageLagMillis: 2000,
      refusesOverload: false,
      runOf: runFromInput,
    });
  }
}
