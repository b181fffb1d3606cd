import type {Advice} from '@samphireramp/dispatch';
import type {StartOrder} from '@samphireramp/fleet';
import type {AdviseRequest} from '@samphireramp/host-links';
import type {RunId} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {ModelAdviser} from './ModelAdviser';
import type {ModelHost} from './ModelHost';
import type {ModelWorker} from './ModelWorker';
import type {SiteFaultState} from './SiteWeather';

const CALL_MILLIS = 2;

/** Carries calls of hosts to model workers and the model adviser. */
export class ModelCalls {
  constructor(
    private readonly queue: Timeline,
    private readonly weather: () => SiteFaultState,
    private readonly workers: readonly ModelWorker[],
    private readonly hosts: readonly ModelHost[],
    private readonly adviser: ModelAdviser,
  ) {}

  private wait(millis: number): Promise<void> {
    return new Promise(resolve => this.queue.after(millis, resolve));
  }

  private workerAt(id: string): ModelWorker | undefined {
    return this.workers.find(worker => worker.id === id);
  }

  async holdWorker(
    host: string,
    call: {
      id: string;
      term: number;
      ackedEnd: number;
      until: number | undefined;
      waitMillis: number;
      timeoutMillis: number;
    },
  ) {
    const worker = this.workerAt(call.id);
    const silent = {
      kind: 'failed',
      failure: 'silent',
      detail: 'no answer',
    } as const;
    await this.wait(CALL_MILLIS);
    if (!worker?.isUp || !this.weather().canCall(host, call.id)) {
      await this.wait(call.timeoutMillis);
      return silent;
    }
    const {term, ackedEnd, until, waitMillis} = call;
    const listing = await worker.hold(term, ackedEnd, until, waitMillis);
    await this.wait(CALL_MILLIS);
    if (!worker.isUp || !this.weather().canCall(host, call.id)) {
      await this.wait(call.timeoutMillis);
      return silent;
    }
    return listing === 'fenced'
      ? ({kind: 'failed', failure: 'fenced', detail: 'status 409'} as const)
      : ({kind: 'held', report: listing} as const);
  }

  async startRun(
    host: string,
    call: {id: string; term: number; until: number; timeoutMillis: number},
    order: StartOrder,
  ) {
    const {term, until} = call;
    // An order names the worker, so that it also reaches a later life of it.
    return this.order(host, call, worker => worker.start(order, term, until));
  }

  async stopRun(
    host: string,
    call: {id: string; term: number; timeoutMillis: number},
    place: RunId,
  ) {
    return this.order(host, call, worker => worker.stop(place, call.term));
  }

  /** Carries an order out, at times late and without an answer. */
  private async order<Outcome>(
    host: string,
    call: {id: string; timeoutMillis: number},
    carryOut: (worker: ModelWorker) => Outcome,
  ): Promise<Outcome | 'silent'> {
    const worker = this.workerAt(call.id);
    await this.wait(CALL_MILLIS);
    const isLost = this.weather().losesOrderAnswer();
    if (!worker?.isUp || !this.weather().canCall(host, call.id)) {
      await this.wait(call.timeoutMillis);
      return 'silent';
    }
    if (isLost) {
      this.queue.after(this.weather().orderDelayMillis(), () => {
        if (worker.isUp) {
          carryOut(worker);
        }
      });
      await this.wait(call.timeoutMillis);
      return 'silent';
    }
    const outcome = carryOut(worker);
    await this.wait(CALL_MILLIS);
    return outcome;
  }

  /** Has another host ask for advice; it may be gone, or go meanwhile. */
  async adviseThrough(address: string, call: AdviseRequest): Promise<Advice> {
    const other = this.hosts.find(({name}) => name === address);
    const kernel = other?.kernel;
    const isThere = () =>
      other !== undefined &&
      other.isUp &&
      !other.isFrozen &&
      other.kernel === kernel;
    const failed = (detail: string): Advice => ({kind: 'failed', detail});
    await this.wait(CALL_MILLIS);
    if (!isThere()) {
      return failed('UNAVAILABLE');
    }
    const late = this.wait(call.timeoutMillis).then(() =>
      failed('DEADLINE_EXCEEDED'),
    );
    const answer = this.adviser
      .advise(address, call, call.workerIds)
      .then(async advice => {
        await this.wait(CALL_MILLIS);
        return isThere() ? advice : failed('UNAVAILABLE');
      });
    return Promise.race([answer, late]);
  }
}
