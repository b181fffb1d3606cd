import {CONFIGURATION_IN_FORCE} from '@samphireramp/configuration';
import {DISPATCH_EVENT, DISPATCH_TICK} from '@samphireramp/dispatch';
import {FLEET_EVENT, FLEET_TICK} from '@samphireramp/fleet';
import {HOSTS_READ, createHostsPlugin} from '@samphireramp/hosts';
import {
  HOLDING_EVENT,
  HOLDING_TICK,
  RESIGN,
  createHoldingPlugin,
  heldTerm,
} from '@samphireramp/holding';
import {createJobStatesPlugin} from '@samphireramp/job-states';
import {
  INTAKE_EVENT,
  type Request,
  type RequestAnswer,
  type PendingCount,
  countPending,
  createIntakePlugin,
  jobStatus,
} from '@samphireramp/intake';
import type {ClientAccount, Job} from '@samphireramp/jobs';
import {type Kernel, createKernel, mergeUnregister} from '@samphireramp/kernel';
import {decodeWorkerEntry} from '@samphireramp/platform';
import {
  createAdvicePlugin,
  createPlacementPlugins,
  createStreamLogPlugin,
  createWorkersPlugin,
} from '@samphireramp/site-daemon';
import {EventQueue} from '../EventQueue';
import {buildConfiguration} from './jobFixture';
import {VISIBLE_LIMIT_MILLIS} from './answerChecks';
import {InvariantChecker} from './InvariantChecker';
import {ModelNetwork} from './ModelNetwork';
import {ModelLog} from './ModelLog';
import type {ModelHost, ModelSiteOptions} from './ModelHost';
import {ModelWorker} from './ModelWorker';
import {
  decodeModelConfiguration,
  encodeModelConfiguration,
} from './modelConfiguration';
import {registerModelTimers} from './modelTimers';
import {ModelAdviser} from './ModelAdviser';
import {buildRegistryEntry, encodeRegistryEntry} from './registryEntry';
import {sendRequest} from './sendRequest';
import {NO_SITE_FAULTS, type SiteFaultState} from './SiteFaultState';

/** Interval of a host's ticks; the workers tick four times as often. */
const TICK_MILLIS = 20;
/** Number of partitions of the `requests` stream. */
const PARTITIONS = 2;
const CONFIGURATION_KEY = 'config';
const KEEP_ENDED_MILLIS = 600_000;
const WORKER_PORT = 7000;
/** Real event loop turns per virtual millisecond, for promises to settle. */
const EVENT_LOOP_TURNS_PER_MILLISECOND = 2;

/** Runs hosts with the product's plug-ins on a model platform in virtual time. */
export class ModelSite {
  readonly clock = new EventQueue();
  readonly checker = new InvariantChecker(this.clock);
  readonly log: ModelLog;
  readonly workers: ModelWorker[] = [];
  readonly hosts: ModelHost[] = [];
  /** Errors that the kernels of running hosts reported. */
  readonly errors: unknown[] = [];
  /** Events of all hosts, as lines of JSON. */
  readonly events: string[] = [];
  faultState: SiteFaultState;
  private readonly network: ModelNetwork;
  private readonly adviser: ModelAdviser;
  private callCount = 0;
  private incarnationCount = 0;
  private revision = 0;

  constructor(private readonly options: ModelSiteOptions) {
    this.faultState = {...NO_SITE_FAULTS, ...options.faultState};
    this.log = new ModelLog(
      this.clock,
      {
        logAvailability: host => this.faultState.logAvailability(host),
        losesAppendAnswer: () => this.faultState.losesAppendAnswer(),
        appendDelayMillis: () => this.faultState.appendDelayMillis(),
      },
      PARTITIONS,
    );
    this.adviser = new ModelAdviser(
      this.clock,
      this.workers,
      jobId => this.checker.jobs.get(jobId)?.job.policy.advice,
      options.forbiddenWorkersPerStep ?? 0,
      () => this.faultState.answersAdvice(),
    );
    this.network = new ModelNetwork(
      this.clock,
      () => this.faultState,
      this.workers,
      this.hosts,
      this.adviser,
    );
    this.configureAccounts(options.accounts ?? []);
    for (let index = 0; index < options.workers; index++) {
      this.addWorker(`worker-${index}`, `rack-${index % 2}`);
    }
    for (let index = 0; index < options.hosts; index++) {
      this.hosts.push(this.createHost(`host-${index}`));
    }
    this.checker.workers = this.workers;
    this.scheduleWorkerTick();
  }

  /** Advances virtual time by the given time. */
  async run(millis: number): Promise<void> {
    const end = this.clock.now + millis;
    while (this.clock.now < end) {
      const next = Math.min(end, this.clock.now + 1);
      this.clock.runUntil(next, () => undefined);
      for (let turn = 0; turn < EVENT_LOOP_TURNS_PER_MILLISECOND; turn++) {
        await new Promise(resolve => {
          setImmediate(resolve);
        });
      }
    }
  }

  /** Submits a job to a host and records the answer in the checker. */
  async submit(host: ModelHost, job: Job): Promise<RequestAnswer | undefined> {
    const submitted = this.checker.registerJob(job);
    submitted.pendingSubmits++;
    const answer = await this.send(host, {kind: 'submit', job});
    submitted.pendingSubmits--;
    submitted.isRefused &&= answer?.kind === 'refused';
    if (answer?.kind === 'accepted') {
      submitted.acceptedAt = this.clock.now;
    }
    return answer;
  }

  /** Cancels a job at a host and records the answer in the checker. */
  async cancel(host: ModelHost, jobId: string): Promise<void> {
    const receivedAt = this.clock.now;
    const submitted = this.checker.jobs.get(jobId);
    if (submitted !== undefined) {
      submitted.isCancelRequested = true;
    }
    const answer = await this.send(host, {kind: 'cancel', jobId, receivedAt});
    if (submitted !== undefined && answer?.kind === 'accepted') {
      submitted.cancelledAt ??= this.clock.now;
    }
  }

  /** Returns a job's state as a host reports it, after checking it. */
  readJobState(host: ModelHost, jobId: string) {
    if (!host.isUp) {
      return 'unsure';
    }
    const state = jobStatus(
      host.kernel,
      jobId,
      this.clock.now,
      VISIBLE_LIMIT_MILLIS,
    );
    if (state !== 'absent' && state !== 'unsure') {
      this.checker.onStateShown(jobId, state);
    }
    return state;
  }

  /** Returns the number of pending jobs of a queue as a host reports it. */
  readPending(host: ModelHost, queue: string): PendingCount {
    const {now} = this.clock;
    return countPending(host.kernel, queue, now, VISIBLE_LIMIT_MILLIS);
  }

  /** Writes a configuration with other client accounts to the log. */
  configureAccounts(clientAccounts: readonly ClientAccount[]): void {
    this.checker.quotas.onConfiguration(clientAccounts);
    this.revision++;
    const record = {revision: this.revision, clientAccounts};
    const value = encodeModelConfiguration(record);
    this.log.put('configuration', CONFIGURATION_KEY, value);
  }

  /** Returns the first host that considers itself the holder, if any. */
  holder(): ModelHost | undefined {
    return this.hosts.find(
      host => host.isUp && heldTerm(host.kernel) !== undefined,
    );
  }

  /** Ends a host's process without notice. */
  kill(host: ModelHost): void {
    host.isUp = false;
    host.unregister();
  }

  /** Has a host resign; its process ends after a grace period. */
  stop(host: ModelHost, graceMillis: number): void {
    const {kernel} = host;
    kernel.dispatch(RESIGN, undefined);
    this.clock.after(graceMillis, () => {
      if (host.isUp && host.kernel === kernel) {
        this.kill(host);
      }
    });
  }

  /** Starts a new process of a host; ends the current one if it is up. */
  restart(host: ModelHost): void {
    this.kill(host);
    const replacement = this.createHost(host.name);
    host.kernel = replacement.kernel;
    host.unregister = replacement.unregister;
    host.isUp = true;
    host.isFrozen = false;
    this.registerPlugins(host);
  }

  /** Writes a worker's entry in the worker registry. */
  writeRegistryEntry(worker: ModelWorker, isDraining = false): void {
    const entry = buildRegistryEntry(worker.record(isDraining));
    this.writeRegistryRecord(worker.id, encodeRegistryEntry(entry));
  }

  /** Writes any content under any id to the worker registry. */
  writeRegistryRecord(id: string, content: Buffer): void {
    this.log.put('workers', id, content);
  }

  /** Deletes a worker's entry from the worker registry. */
  deleteRegistryEntry(worker: ModelWorker): void {
    this.writeRegistryRecord(worker.id, Buffer.alloc(0));
  }

  /** Adds a worker and writes its entry in the worker registry. */
  addWorker(id: string, rack: string): void {
    const {capacity, random, script} = this.options;
    const clockRate = 0.98 + random() * 0.04;
    const worker: ModelWorker = new ModelWorker(
      id,
      rack,
      `10.0.0.${this.workers.length + 1}:${WORKER_PORT}`,
      capacity,
      clockRate,
      this.clock,
      this.checker,
      runId => {
        const job = this.checker.jobs.get(runId.jobId)?.job;
        return job && script(job, runId);
      },
      order => this.adviser.acceptsTicket(order.ticket, order.runId, worker),
    );
    worker.onReturn = () => this.writeRegistryEntry(worker);
    this.workers.push(worker);
    this.writeRegistryEntry(worker);
  }

  private send(host: ModelHost, request: Request) {
    return sendRequest(host, `call-${this.callCount++}`, request);
  }

  private scheduleWorkerTick(): void {
    this.clock.after(TICK_MILLIS / 4, () => {
      for (const worker of this.workers) {
        worker.tick();
      }
      this.scheduleWorkerTick();
    });
  }

  private createHost(name: string): ModelHost {
    const kernel: Kernel = createKernel({
      now: () => this.clock.now,
      // Answers to calls of an ended process may still arrive; errors from them
      // are ignored.
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
      clockOffsetMillis: 0,
      unregister: () => undefined,
    };
    if (!this.hosts.some(other => other.name === name)) {
      this.registerPlugins(host);
    }
    return host;
  }

  /** Registers the product's plug-ins, with models in place of transports. */
  private registerPlugins(host: ModelHost): void {
    const {kernel, name} = host;
    const {random} = this.options;
    const incarnation = ++this.incarnationCount;
    const isAlive = () => host.isUp && host.kernel === kernel;
    const plugins = [
      createHostsPlugin(),
      createHoldingPlugin({
        self: name,
        incarnation: `${name}/${incarnation}`,
        roundTripMillis: () => 5,
        claimDelayMillis: () => random() * 40,
      }),
      createJobStatesPlugin({
        self: name,
        incarnation: `${name}/${incarnation}`,
        roundTripMillis: () => 5,
        followDelayMillis: () => 0,
      }),
      createIntakePlugin({partitions: PARTITIONS}),
      ...createPlacementPlugins({
        self: name,
        wallClock: () => this.clock.now + host.clockOffsetMillis,
        partitions: PARTITIONS,
        keepEndedMillis: this.options.keepEndedMillis ?? KEEP_ENDED_MILLIS,
        learnRunTimes: this.options.learnsRunTimes ?? true,
      }),
      createWorkersPlugin(
        {
          poll: call => this.network.pollWorker(name, call),
          start: (call, order) => this.network.startRun(name, call, order),
          stop: (call, runId) => this.network.stopRun(name, call, runId),
        },
        () => this.clock.now,
      ),
      createAdvicePlugin(
        name,
        (step, workerIds) => this.adviser.advise(name, step, workerIds),
        {
          advise: (address, call) => this.network.adviseThrough(address, call),
          close: () => undefined,
        },
      ),
      createStreamLogPlugin({
        streams: this.log.createStreamLog(name, isAlive),
        decodeConfiguration: value =>
          decodeModelConfiguration(value, this.options.policies),
        configurationKey: CONFIGURATION_KEY,
        decodeWorker: decodeWorkerEntry,
        log: () => undefined,
      }),
    ];
    const effects = [DISPATCH_EVENT, FLEET_EVENT, HOLDING_EVENT, INTAKE_EVENT];
    host.unregister = mergeUnregister(
      ...plugins.map(plugin => kernel.register(plugin)),
      ...effects.map(effect =>
        kernel.registerEffect(effect as typeof DISPATCH_EVENT, event => {
          const line = {at: Math.round(this.clock.now), host: name, ...event};
          this.events.push(JSON.stringify(line));
        }),
      ),
      registerModelTimers(host, this.clock),
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
      this.clock.after(TICK_MILLIS, tick);
    };
    this.clock.after(random() * TICK_MILLIS, tick);
    kernel.dispatch(CONFIGURATION_IN_FORCE, {
      configuration: {
        ...buildConfiguration(this.options.policies),
        revision: 0,
      },
    });
  }
}
