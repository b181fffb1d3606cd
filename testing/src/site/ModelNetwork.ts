import type {Advice} from '@samphireramp/dispatch';
import type {StartOrder} from '@samphireramp/fleet';
import type {AdviseRequest} from '@samphireramp/host-links';
import type {RunId} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {ModelAdviser} from './ModelAdviser';
import type {ModelHost} from './ModelHost';
import type {ModelWorker} from './ModelWorker';
import type {SiteFaultState} from './SiteFaultState';

/** One-way latency of each call and answer. */
const NETWORK_DELAY_MILLIS = 2;

/**
 * Simulates the network: delays each call from a host to a worker or through
 * another host to the adviser, and fails those that faults hit.
 */
export class ModelNetwork {
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

  /** Delivers a poll; faults on the way there or back leave it unanswered. */
  async pollWorker(
    host: string,
    call: {
      id: string;
      fence: number;
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
    const isRefused = this.faultState().refusesConnections(call.id);
    if (isRefused || worker?.refusesConnections) {
      return {kind: 'failed', failure: 'closed', detail: 'refused'} as const;
    }
    if (!worker?.isUp || !this.faultState().canCall(host, call.id)) {
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    const {fence, acknowledgedEnd, leaseUntil, waitMillis} = call;
    if (this.faultState().losesPollAnswer(call.id)) {
      this.timeline.after(this.faultState().orderDelayMillis(), () => {
        if (worker.isUp) {
          void worker.poll(fence, acknowledgedEnd, leaseUntil, 0);
        }
      });
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    const report = await worker.poll(
      fence,
      acknowledgedEnd,
      leaseUntil,
      waitMillis,
    );
    await this.delay(NETWORK_DELAY_MILLIS);
    if (worker.refusesConnections) {
      return noAnswer;
    }
    if (!worker.isUp || !this.faultState().canCall(host, call.id)) {
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    return report === 'fenced'
      ? ({kind: 'failed', failure: 'fenced', detail: 'status 409'} as const)
      : ({kind: 'reported', report} as const);
  }

  /** Delivers an order to start a run. */
  async startRun(
    host: string,
    call: {
      id: string;
      fence: number;
      leaseUntil: number;
      timeoutMillis: number;
    },
    order: StartOrder,
  ) {
    const {fence, leaseUntil} = call;
    const sentAt = this.timeline.now;
    // An order is addressed to a worker id, so that a later incarnation of the
    // worker can receive it too.
    return this.sendOrder(host, call, 'unhealthy', worker =>
      worker.start(order, fence, leaseUntil, sentAt),
    );
  }

  /** Delivers an order to stop a run. */
  async stopRun(
    host: string,
    call: {id: string; fence: number; timeoutMillis: number},
    runId: RunId,
  ) {
    return this.sendOrder(host, call, 'silent', worker =>
      worker.stop(runId, call.fence),
    );
  }

  /**
   * Delivers an order; faults can delay it and lose its answer. A worker that
   * refuses it answers with `refusal`.
   */
  private async sendOrder<Answer>(
    host: string,
    call: {id: string; timeoutMillis: number},
    refusal: Answer | 'silent',
    execute: (worker: ModelWorker) => Answer,
  ): Promise<Answer | 'silent'> {
    const worker = this.findWorker(call.id);
    await this.delay(NETWORK_DELAY_MILLIS);
    const isAnswerLost = this.faultState().losesOrderAnswer();
    if (worker?.refusesConnections) {
      return 'silent';
    }
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
    const answer = this.faultState().refusesOrder(call.id)
      ? refusal
      : execute(worker);
    await this.delay(NETWORK_DELAY_MILLIS);
    return answer;
  }

  /**
   * Requests advice through another host. Fails if that host is down or frozen
   * at either end of the call, or restarts in between.
   */
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
