import {
  CONFIGURATION_IN_FORCE,
  DISPATCH_EVENT,
  DISPATCH_TICK,
  PLACE_TASKS,
  SCHEDULE_PLACEMENT,
  createDispatchPlugin,
} from '@samphireramp/dispatch';
import {
  FLEET_EVENT,
  FLEET_TICK,
  type WorkerRecord,
  createFleetPlugin,
} from '@samphireramp/fleet';
import {HOSTS_READ, createHostsPlugin} from '@samphireramp/hosts';
import {
  HOLDING_EVENT,
  HOLDING_TICK,
  RESIGN,
  createHoldingPlugin,
  heldTerm,
} from '@samphireramp/holding';
import {
  ANSWER_CALL,
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  INTAKE_EVENT,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
  REQUEST_RECEIVED,
  type Request,
  type RequestAnswer,
  createIntakePlugin,
  jobStatus,
} from '@samphireramp/intake';
import type {Job} from '@samphireramp/jobs';
import {type Kernel, createKernel, mergeUnregister} from '@samphireramp/kernel';
import {
  createAdvicePlugin,
  createLogPlugin,
  createWorkersPlugin,
} from '@samphireramp/site-daemon';
import {EventQueue} from '../EventQueue';
import {buildConfiguration} from './jobFixture';
import {InvariantChecker} from './Judge';
import {ModelCalls} from './ModelCalls';
import {ModelLog} from './ModelLog';
import type {ModelHost, ModelSiteOptions} from './ModelHost';
import {ModelWorker} from './ModelWorker';
import {ModelAdviser} from './ModelAdviser';
import {NO_SITE_FAULTS, type SiteFaultState} from './SiteWeather';

const TICK_MILLIS = 20;
const PARTITIONS = 2;
const CONFIGURATION_KEY = 'config';
const LONG_MILLIS = 600_000;
/** Real turns of the loop after each event, for promises to settle. */
const SETTLING_TURNS = 2;

/** The product's decisions on models of the platform, in virtual time. */
export class ModelSite {
  readonly queue = new EventQueue();
  readonly judge = new InvariantChecker(this.queue);
  readonly log: ModelLog;
  readonly workers: ModelWorker[] = [];
  readonly hosts: ModelHost[] = [];
  readonly errors: unknown[] = [];
  readonly events: string[] = [];
  weather: SiteFaultState;
  private readonly platform: ModelCalls;
  private readonly adviser: ModelAdviser;
  private calls = 0;
  private lives = 0;

  constructor(private readonly options: ModelSiteOptions) {
    this.weather = {...NO_SITE_FAULTS, ...options.weather};
    this.log = new ModelLog(
      this.queue,
      {
        reach: host => this.weather.reach(host),
        losesAnswer: () => this.weather.losesAnswer(),
        delayMillis: () => this.weather.delayMillis(),
      },
      PARTITIONS,
    );
    this.adviser = new ModelAdviser(
      this.queue,
      this.workers,
      jobId => this.judge.jobs.get(jobId)?.job.policy.advice,
      options.forbiddenWorkers ?? 0,
    );
    this.platform = new ModelCalls(
      this.queue,
      () => this.weather,
      this.workers,
      this.hosts,
      this.adviser,
    );
    this.log.put('configuration', CONFIGURATION_KEY, Buffer.from('{}'));
    for (let index = 0; index < options.workers; index++) {
      this.addWorker(`worker-${index}`, `rack-${index % 2}`);
    }
    for (let index = 0; index < options.hosts; index++) {
      this.hosts.push(this.newHost(`host-${index}`));
    }
    this.judge.workers = this.workers;
    this.planWorkerTick();
  }

  /** Lets virtual time pass. */
  async run(millis: number): Promise<void> {
    const end = this.queue.now + millis;
    while (this.queue.now < end) {
      const next = Math.min(end, this.queue.now + 1);
      this.queue.runUntil(next, () => undefined);
      for (let turn = 0; turn < SETTLING_TURNS; turn++) {
        await new Promise(resolve => {
          setImmediate(resolve);
        });
      }
    }
  }

  /** Hands a job in at a host; what came of it stands with the judge. */
  async submit(host: ModelHost, job: Job): Promise<RequestAnswer | undefined> {
    const known = this.judge.registerJob(job);
    known.openTries++;
    const answer = await this.ask(host, {kind: 'submit', job});
    known.openTries--;
    known.isRefused &&= answer?.kind === 'refused';
    if (answer?.kind === 'accepted') {
      known.acceptedAt = this.queue.now;
    }
    return answer;
  }

  /** Cancels a job at a host. */
  async cancel(host: ModelHost, jobId: string): Promise<void> {
    const receivedAt = this.queue.now;
    const asked = this.judge.jobs.get(jobId);
    if (asked !== undefined) {
      asked.isCancelAsked = true;
    }
    const answer = await this.ask(host, {kind: 'cancel', jobId, receivedAt});
    if (asked !== undefined && answer?.kind === 'accepted') {
      asked.cancelledAt ??= this.queue.now;
    }
  }

  /** What a host shows of a job. */
  show(host: ModelHost, jobId: string) {
    if (!host.isUp) {
      return 'unsure';
    }
    const state = jobStatus(host.kernel, jobId, this.queue.now, 0);
    if (state !== 'absent' && state !== 'unsure') {
      this.judge.onShown(jobId, state);
    }
    return state;
  }

  /** The host that holds the site, if one believes so. */
  holder(): ModelHost | undefined {
    return this.hosts.find(
      host => host.isUp && heldTerm(host.kernel) !== undefined,
    );
  }

  kill(host: ModelHost): void {
    host.isUp = false;
    host.unregister();
  }

  /** Tells a host to stop; it goes on for a while, then its process ends. */
  stop(host: ModelHost, graceMillis: number): void {
    const {kernel} = host;
    kernel.dispatch(RESIGN, undefined);
    this.queue.after(graceMillis, () => {
      if (host.isUp && host.kernel === kernel) {
        this.kill(host);
      }
    });
  }

  restart(host: ModelHost): void {
    this.kill(host);
    const fresh = this.newHost(host.name);
    host.kernel = fresh.kernel;
    host.unregister = fresh.unregister;
    host.isUp = true;
    host.isFrozen = false;
    this.bind(host);
  }

  /** Rewrites a worker's entry in the list. */
  list(worker: ModelWorker, isDraining = false): void {
    const entry = JSON.stringify(worker.record(isDraining));
    this.log.put('workers', worker.id, Buffer.from(entry));
  }

  /** Removes a worker's entry from the list. */
  unlist(worker: ModelWorker): void {
    this.log.put('workers', worker.id, Buffer.alloc(0));
  }

  private ask(
    host: ModelHost,
    request: Request,
  ): Promise<RequestAnswer | undefined> {
    const callId = `call-${this.calls++}`;
    return new Promise(resolve => {
      if (!host.isUp) {
        resolve(undefined);
        return;
      }
      const unregister = host.kernel.registerEffect(ANSWER_CALL, answered => {
        if (answered.callId === callId) {
          unregister();
          resolve(answered.answer);
        }
      });
      host.kernel.dispatch(REQUEST_RECEIVED, {callId, request});
    });
  }

  /** Adds a worker that nobody knows of yet. */
  addWorker(id: string, rack: string): void {
    const {capacity, random, script} = this.options;
    const rate = 0.98 + random() * 0.04;
    const worker: ModelWorker = new ModelWorker(
      id,
      rack,
      capacity,
      rate,
      this.queue,
      this.judge,
      place => {
        const job = this.judge.jobs.get(place.jobId)?.job;
        return job && script(job, place);
      },
      order => this.adviser.accepts(order.ticket, order.runId, worker),
    );
    this.workers.push(worker);
    this.list(worker);
  }

  private planWorkerTick(): void {
    this.queue.after(TICK_MILLIS / 4, () => {
      for (const worker of this.workers) {
        worker.tick();
      }
      this.planWorkerTick();
    });
  }

  private newHost(name: string): ModelHost {
    const kernel: Kernel = createKernel({
      now: () => this.queue.now,
      // Answers to calls of a process that is gone go nowhere.
      onError: error => {
        if (this.hosts.some(host => host.isUp && host.kernel === kernel)) {
          this.errors.push(error);
        }
      },
    });
    const host: ModelHost = {
      name,
      kernel,
      isUp: true,
      isFrozen: false,
      clockAhead: 0,
      unregister: () => undefined,
    };
    if (!this.hosts.some(other => other.name === name)) {
      this.bind(host);
    }
    return host;
  }

  /** Registers the product's plug-ins, and the models in place of transports. */
  private bind(host: ModelHost): void {
    const {kernel, name} = host;
    const {random} = this.options;
    const life = ++this.lives;
    const isAlive = () => host.isUp && host.kernel === kernel;
    const plugins = [
      createHostsPlugin(),
      createHoldingPlugin({
        self: name,
        incarnation: `${name}/${life}`,
        roundTripMillis: () => 5,
        claimDelayMillis: () => random() * 40,
      }),
      createIntakePlugin({partitions: PARTITIONS}),
      createFleetPlugin(),
      createDispatchPlugin({
        self: name,
        wallClock: () => this.queue.now + host.clockAhead,
        partitions: PARTITIONS,
        keepEndedMillis: this.options.keepEndedMillis ?? LONG_MILLIS,
      }),
      createWorkersPlugin(
        {
          hold: call => this.platform.holdWorker(name, call),
          start: (call, order) => this.platform.startRun(name, call, order),
          stop: (call, place) => this.platform.stopRun(name, call, place),
        },
        () => this.queue.now,
      ),
      createAdvicePlugin(
        name,
        (step, workerIds) => this.adviser.advise(name, step, workerIds),
        {
          advise: (address, call) => this.platform.adviseThrough(address, call),
          close: () => undefined,
        },
      ),
      createLogPlugin({
        streams: this.log.viewOf(name, isAlive),
        decodeConfiguration: () => buildConfiguration(this.options.policies),
        configurationKey: CONFIGURATION_KEY,
        decodeWorker: (_, value) =>
          JSON.parse(value.toString()) as WorkerRecord,
        log: () => undefined,
      }),
    ];
    const events = [DISPATCH_EVENT, FLEET_EVENT, HOLDING_EVENT, INTAKE_EVENT];
    host.unregister = mergeUnregister(
      ...plugins.map(plugin => kernel.register(plugin)),
      ...events.map(effect =>
        kernel.registerEffect(effect as typeof DISPATCH_EVENT, event => {
          const line = {at: Math.round(this.queue.now), host: name, ...event};
          this.events.push(JSON.stringify(line));
        }),
      ),
      kernel.registerEffect(SCHEDULE_PLACEMENT, () =>
        this.later(host, 2, () => kernel.dispatch(PLACE_TASKS, undefined)),
      ),
      kernel.registerEffect(SCHEDULE_FLUSH, ({millis}) =>
        this.later(host, millis, () =>
          kernel.dispatch(FLUSH_REQUESTS, undefined),
        ),
      ),
      kernel.registerEffect(SCHEDULE_HEDGE, ({batchId, millis}) =>
        this.later(host, millis, () =>
          kernel.dispatch(HEDGE_REQUESTS, {batchId}),
        ),
      ),
    );
    const tick = () => {
      if (!isAlive()) {
        return;
      }
      if (!host.isFrozen) {
        kernel.dispatch(HOLDING_TICK, undefined);
        kernel.dispatch(FLEET_TICK, undefined);
        kernel.dispatch(DISPATCH_TICK, undefined);
        kernel.dispatch(HOSTS_READ, {
          hosts: this.hosts
            .filter(other => other.isUp)
            .map(other => ({
              name: other.name,
              address: other.name,
              zone: 'zone-a',
              region: 'region-a',
            })),
        });
      }
      this.queue.after(TICK_MILLIS, tick);
    };
    this.queue.after(random() * TICK_MILLIS, tick);
    kernel.dispatch(CONFIGURATION_IN_FORCE, {
      configuration: buildConfiguration(this.options.policies),
    });
  }

  private later(host: ModelHost, millis: number, run: () => void): void {
    const {kernel} = host;
    this.queue.after(millis, () => {
      if (!host.isUp || host.kernel !== kernel) {
        return;
      }
      if (host.isFrozen) {
        this.later(host, TICK_MILLIS, run);
      } else {
        run();
      }
    });
  }
}
