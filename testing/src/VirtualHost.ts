import {CONFIGURATION_READ} from '@samphireramp/configuration';
import {createDecisionPlugins} from '@samphireramp/decisions';
import {JOURNAL_TICK} from '@samphireramp/journal';
import {type Kernel, createKernel} from '@samphireramp/kernel';
import {HEARTBEAT_DUE, LEAVE, type OwnIdentity} from '@samphireramp/membership';
import type {
  CallOutcome,
  ListedHost,
  LogPage,
  PeerCall,
} from '@samphireramp/model';
import {LEASE_TICK, RELEASE_SHARDS} from '@samphireramp/ownership';
import {chooseBestFit} from '@samphireramp/placement';
import {ANSWER_CALLER, CALL_ARRIVED, CALL_TICK} from '@samphireramp/routing';
import {
  CONTINUE_PLACING,
  PLACE_WORK,
  WORK_TICK,
  standardPolicies,
} from '@samphireramp/scheduling';
import type {EventQueue} from './EventQueue';

/** How a virtual host reaches the rest of the virtual site. */
export interface VirtualLinks {
  /** Registers the effects that leave the host. */
  register(kernel: Kernel, host: VirtualHost): void;
}

/** What a virtual host is made with. */
export interface VirtualHostOptions {
  readonly name: string;
  readonly zone: string;
  readonly run: number;
  readonly drift: number;
  readonly peers: readonly ListedHost[];
  readonly random: () => number;
  readonly onError: (error: unknown) => void;
}

const DAY_MILLIS = 86_400_000;

const TICKS = [
  [HEARTBEAT_DUE, 1000],
  [LEASE_TICK, 250],
  [JOURNAL_TICK, 250],
  [WORK_TICK, 250],
  [CALL_TICK, 50],
] as const;

/** An entry host with its real decisions, on virtual time. */
export class VirtualHost {
  readonly kernel: Kernel;
  readonly self: OwnIdentity;
  isAlive = true;
  /** Virtual time until which the process does not run. */
  pausedUntil = 0;
  private calls = 0;
  private readonly answers = new Map<string, (outcome: CallOutcome) => void>();

  constructor(
    private readonly queue: EventQueue,
    readonly options: VirtualHostOptions,
    links: VirtualLinks,
  ) {
    const {name, zone, run} = options;
    this.self = {
      name,
      zone,
      peerAddress: name,
      incarnation: `${name}.${run}`,
    };
    this.kernel = createKernel({
      now: () => this.now,
      onError: options.onError,
    });
    this.registerPlugins();
    links.register(this.kernel, this);
    TICKS.forEach(([command, millis]) => this.every(command, millis));
  }

  /** The host's own monotonic clock. */
  get now(): number {
    return 5000 + this.queue.now * (1 + this.options.drift);
  }

  /** Runs something when the process runs; never, once it has died. */
  whenRunning(run: () => void): void {
    if (!this.isAlive) {
      return;
    }
    const wait = this.pausedUntil - this.queue.now;
    if (wait > 0) {
      this.queue.after(wait, () => this.whenRunning(run));
    } else {
      run();
    }
  }

  /** Brings a call of a caller to this host. */
  call(
    call: PeerCall,
    deadlineMillis: number,
    answer: (outcome: CallOutcome) => void,
  ): void {
    this.whenRunning(() => {
      const callId = `${this.self.incarnation}:${++this.calls}`;
      this.answers.set(callId, answer);
      const deadline = this.now + deadlineMillis;
      this.kernel.dispatch(CALL_ARRIVED, {callId, call, deadline, hops: 0});
    });
  }

  /** Takes in a page of the configuration stream. */
  configure(page: LogPage, from: number): void {
    this.whenRunning(() =>
      this.kernel.dispatch(CONFIGURATION_READ, {page, from}),
    );
  }

  /** Leaves, and gives back its leases a little later. */
  leave(): void {
    this.whenRunning(() => this.kernel.dispatch(LEAVE, undefined));
    this.queue.after(500, () =>
      this.whenRunning(() => this.kernel.dispatch(RELEASE_SHARDS, undefined)),
    );
  }

  private registerPlugins(): void {
    const {self} = this;
    const {random, peers} = this.options;
    const unique = () => `${self.incarnation}-${++this.calls}`;
    const plugins = createDecisionPlugins({
      self,
      seeds: peers,
      retentionMillis: DAY_MILLIS,
      startedAt: this.now,
      policies: standardPolicies,
      choose: chooseBestFit,
      wallClock: () => this.queue.now,
      random,
      unique,
    });
    plugins.forEach(plugin => this.kernel.register(plugin));
    this.kernel.registerEffect(ANSWER_CALLER, ({callId, outcome}) => {
      this.answers.get(callId)?.(outcome);
      this.answers.delete(callId);
    });
    this.kernel.registerEffect(CONTINUE_PLACING, payload => {
      this.queue.after(0, () =>
        this.whenRunning(() => this.kernel.dispatch(PLACE_WORK, payload)),
      );
    });
  }

  private every(command: (typeof TICKS)[number][0], millis: number): void {
    const tick = () => {
      if (!this.isAlive) {
        return;
      }
      this.whenRunning(() => this.kernel.dispatch(command, undefined));
      this.queue.after(millis, tick);
    };
    this.queue.after(0, tick);
  }
}
