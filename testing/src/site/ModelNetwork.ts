import type {Advice} from '@samphireramp/dispatch';
import type {StartAnswer, StartOrder} from '@samphireramp/fleet';
import type {AdviseRequest} from '@samphireramp/host-links';
import type {RunId} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {ModelAdviser} from './ModelAdviser';
import type {ModelHost} from './ModelHost';
import type {ModelWorker} from './ModelWorker';
import type {SiteFaultState} from './SiteFaultState';

/** One-way latency of each call and answer. */
const NETWORK_DELAY_MILLIS = 2;
/** How long after it was sent a call without an answer may be carried out. */
const MAX_LATE_CALL_MILLIS = 12_000;
/** Interval at which a call that is kept for a worker that is down is tried again. */
const KEPT_CALL_RETRY_MILLIS = 10;

/** The worker that a call is meant for, and the address that it is sent to. */
interface AddressedCall {
  readonly id: string;
  readonly address: string;
  readonly timeoutMillis: number;
}

/** A call without an answer that its worker carries out late. */
interface LateCall {
  readonly worker: ModelWorker;
  /** The worker that it is meant for. */
  readonly id: string;
  readonly sentAt: number;
  readonly execute: (worker: ModelWorker) => unknown;
}

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

  private findListener(address: string): ModelWorker | undefined {
    return this.workers.find(worker => worker.address === address);
  }

  /** Delivers a poll; faults on the way there or back leave it unanswered. */
  async pollWorker(
    host: string,
    call: {
      id: string;
      address: string;
      fence: number;
      acknowledgedEnd: number;
      leaseUntil: number | undefined;
      waitMillis: number;
      timeoutMillis: number;
    },
  ) {
    const worker = this.findListener(call.address);
    const sentAt = this.timeline.now;
    const {fence, acknowledgedEnd, leaseUntil, waitMillis} = call;
    const noAnswer = {
      kind: 'failed',
      failure: 'silent',
      detail: 'no answer',
    } as const;
    await this.delay(NETWORK_DELAY_MILLIS);
    if (
      worker === undefined ||
      worker.refusesConnections ||
      this.faultState().refusesConnections(worker.id)
    ) {
      return {kind: 'failed', failure: 'closed', detail: 'refused'} as const;
    }
    const lateCall: LateCall = {
      worker,
      id: call.id,
      sentAt,
      execute: () => worker.poll(fence, acknowledgedEnd, leaseUntil, 0),
    };
    if (!this.faultState().canCall(host, worker.id)) {
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    if (!worker.isUp) {
      this.keepCall(lateCall);
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    if (worker.id !== call.id) {
      await this.delay(NETWORK_DELAY_MILLIS);
      return {
        kind: 'failed',
        failure: 'other-life',
        detail: 'status 421',
      } as const;
    }
    if (this.faultState().losesPollAnswer(call.id)) {
      this.timeline.after(this.faultState().orderDelayMillis(), () =>
        this.carryOutLate(lateCall),
      );
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    const {incarnation} = worker;
    const report = await worker.poll(
      fence,
      acknowledgedEnd,
      leaseUntil,
      waitMillis,
    );
    await this.delay(this.faultState().pollAnswerMillis());
    if (worker.refusesConnections) {
      return noAnswer;
    }
    if (!worker.isUp || !this.faultState().canCall(host, call.id)) {
      await this.delay(call.timeoutMillis);
      return noAnswer;
    }
    // The connection to a life that has ended is reset.
    if (worker.incarnation !== incarnation) {
      return noAnswer;
    }
    return report === 'fenced'
      ? ({kind: 'failed', failure: 'fenced', detail: 'status 409'} as const)
      : ({kind: 'reported', report} as const);
  }

  /** Delivers an order to start a run. */
  async startRun(
    host: string,
    call: AddressedCall & {fence: number; leaseUntil: number},
    order: StartOrder,
  ): Promise<StartAnswer> {
    const {fence, leaseUntil} = call;
    const sentAt = this.timeline.now;
    // An order is addressed to a worker id, so that a later incarnation of the
    // worker can receive it too.
    const failures = {refused: 'unhealthy', closed: 'unhealthy'} as const;
    const answer = await this.sendOrder(host, call, failures, worker => ({
      outcome: worker.start(order, fence, leaseUntil, sentAt),
      clockMillis: Math.floor(worker.clock()),
    }));
    return typeof answer === 'string' ? {outcome: answer} : answer;
  }

  /** Delivers an order to stop a run. */
  async stopRun(
    host: string,
    call: AddressedCall & {fence: number},
    runId: RunId,
  ) {
    const failures = {refused: 'silent', closed: 'closed'} as const;
    return this.sendOrder(host, call, failures, worker =>
      worker.stop(runId, call.fence),
    );
  }

  /**
   * Delivers an order; faults can delay it and lose its answer. `failures` are the
   * outcomes if the worker refuses it, and if nothing listens at the address.
   */
  private async sendOrder<Answer, Failure>(
    host: string,
    call: AddressedCall,
    failures: {readonly refused: Failure; readonly closed: Failure},
    execute: (worker: ModelWorker) => Answer,
  ): Promise<Answer | Failure | 'silent' | 'other-life'> {
    const worker = this.findListener(call.address);
    const sentAt = this.timeline.now;
    await this.delay(NETWORK_DELAY_MILLIS);
    const isAnswerLost = this.faultState().losesOrderAnswer(call.id);
    if (worker === undefined) {
      return failures.closed;
    }
    const lateCall: LateCall = {worker, id: call.id, sentAt, execute};
    if (worker.refusesConnections) {
      return 'silent';
    }
    if (!this.faultState().canCall(host, worker.id)) {
      await this.delay(call.timeoutMillis);
      return 'silent';
    }
    if (!worker.isUp) {
      this.keepCall(lateCall);
      await this.delay(call.timeoutMillis);
      return 'silent';
    }
    if (worker.id !== call.id) {
      await this.delay(NETWORK_DELAY_MILLIS);
      return 'other-life';
    }
    if (isAnswerLost) {
      this.timeline.after(this.faultState().orderDelayMillis(), () =>
        this.carryOutLate(lateCall),
      );
      await this.delay(call.timeoutMillis);
      return 'silent';
    }
    const answer = this.faultState().refusesOrder(call.id)
      ? failures.refused
      : execute(worker);
    await this.delay(NETWORK_DELAY_MILLIS);
    return answer;
  }

  /** Has a worker carry out a call without an answer, now or when it is up again. */
  private carryOutLate(call: LateCall): void {
    if (!call.worker.isUp) {
      this.keepCall(call);
    } else if (call.worker.id === call.id) {
      call.execute(call.worker);
    }
  }

  /** Keeps a call for a worker that is down, if a fault says so. */
  private keepCall(call: LateCall): void {
    const nextTryAt = this.timeline.now + KEPT_CALL_RETRY_MILLIS;
    const isTooLate = nextTryAt - call.sentAt > MAX_LATE_CALL_MILLIS;
    const isLost = call.worker.isGone || isTooLate;
    if (!isLost && this.faultState().keepsCallsToDownWorkers(call.worker.id)) {
      this.timeline.after(KEPT_CALL_RETRY_MILLIS, () =>
        this.carryOutLate(call),
      );
    }
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
