import type {Advice} from '@samphireramp/dispatch';
import type {StartOrder} from '@samphireramp/fleet';
import type {AdviseRequest} from '@samphireramp/host-links';
import type {RunId} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {ModelAdviser} from './ModelAdviser';
import type {ModelHost} from './ModelHost';
import type {ModelWorker} from './ModelWorker';
import type {SiteFaultState} from './SiteFaultState';

/** One-way latency. */
const NETWORK_DELAY_MILLIS = 2;

/** Simulates the network between hosts, model workers and the model adviser. */
export class ModelCalls {
  constructor(
    private readonly timeline: Timeline,
    private readonly faultState: () => SiteFaultState,
    private readonly workers: readonly ModelWorker[],
    private readonly hosts: readonly ModelHost[],
    private readonly adviser: ModelAdviser,
  ) {}

  private delay(millis: number): Promise<void> {
    return new Promise(resolve => this.timeline.after(millis, resolve));
  }

  private findWorker(id: string): ModelWorker | undefined {
    return this.workers.find(worker => worker.id === id);
  }

  async pollWorker(
    host: string,
    call: {
      id: string;
      term: number;
      acknowledgedEnd: number;
      leaseUntil: number | undefined;
      waitMillis: number;
      timeoutMillis: number;
    },
  ) {
    const worker = this.findWorker(call.id);
    const noAnswer = {
      kind: 'failed',
      failure: 'silent',
      detail: 'no answer',
    } as const;
    await this.delay(NETWORK_DELAY_MILLIS);
    if (!worker?.isUp || !this.faultState().canCall(host, call.id)) {
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    const {
      term,
      acknowledgedEnd: ackedEnd,
      leaseUntil: until,
      waitMillis,
    } = call;
    const report = await worker.poll(term, ackedEnd, until, waitMillis);
    await this.delay(NETWORK_DELAY_MILLIS);
    if (!worker.isUp || !this.faultState().canCall(host, call.id)) {
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    return report === 'fenced'
      ? ({kind: 'failed', failure: 'fenced', detail: 'status 409'} as const)
      : ({kind: 'reported', report} as const);
  }

  async startRun(
    host: string,
    call: {id: string; term: number; leaseUntil: number; timeoutMillis: number},
    order: StartOrder,
  ) {
    const {term, leaseUntil: until} = call;
    // Orders name the worker, not its incarnation: a later one gets them too.
    return this.sendOrder(host, call, worker =>
      worker.start(order, term, until),
    );
  }

  async stopRun(
    host: string,
    call: {id: string; term: number; timeoutMillis: number},
    runId: RunId,
  ) {
    return this.sendOrder(host, call, worker => worker.stop(runId, call.term));
  }

  /** Delivers an order; faults can delay it and lose its answer. */
  private async sendOrder<Outcome>(
    host: string,
    call: {id: string; timeoutMillis: number},
    execute: (worker: ModelWorker) => Outcome,
  ): Promise<Outcome | 'silent'> {
    const worker = this.findWorker(call.id);
    await this.delay(NETWORK_DELAY_MILLIS);
    const isAnswerLost = this.faultState().losesOrderAnswer();
    if (!worker?.isUp || !this.faultState().canCall(host, call.id)) {
      await this.delay(call.timeoutMillis);
      return 'silent';
    }
    if (isAnswerLost) {
      this.timeline.after(this.faultState().orderDelayMillis(), () => {
        if (worker.isUp) {
          execute(worker);
        }
      });
      await this.delay(call.timeoutMillis);
      return 'silent';
    }
    const outcome = execute(worker);
    await this.delay(NETWORK_DELAY_MILLIS);
    return outcome;
  }

  /** Requests advice through another host, whose process may end meanwhile. */
  async adviseThrough(address: string, call: AdviseRequest): Promise<Advice> {
    const target = this.hosts.find(({name}) => name === address);
    const kernel = target?.kernel;
    const isReachable = () =>
      target !== undefined &&
      target.isUp &&
      !target.isFrozen &&
      target.kernel === kernel;
    const failed = (detail: string): Advice => ({kind: 'failed', detail});
    await this.delay(NETWORK_DELAY_MILLIS);
    if (!isReachable()) {
      return failed('UNAVAILABLE');
    }
    const timeout = this.delay(call.timeoutMillis).then(() =>
      failed('DEADLINE_EXCEEDED'),
    );
    const answer = this.adviser
      .advise(address, call, call.workerIds)
      .then(async advice => {
        await this.delay(NETWORK_DELAY_MILLIS);
        return isReachable() ? advice : failed('UNAVAILABLE');
      });
    return Promise.race([answer, timeout]);
  }
}
