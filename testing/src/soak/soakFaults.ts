import type {CallFault, ModelWorker, Platform, SiteProcesses} from '../site';
import type {TcpProxy, ProxyMode} from './startTcpProxy';

/** Seeded random values for one run of the soak. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer from `min` to `max`, both inclusive. */
  between(min: number, max: number): number;
  /** Returns an element of the list; all are equally likely. */
  pick<Type>(list: readonly Type[]): Type;
}

/** The parts of a running soak that faults are injected into. */
export interface SoakTarget {
  readonly platform: Platform;
  readonly site: SiteProcesses;
  readonly proxies: {
    /** Connections of each host to the store, by the index of the host. */
    readonly store: readonly TcpProxy[];
    /** Connections of each host to its adviser, by the index of the host. */
    readonly adviser: readonly TcpProxy[];
    /** Connections of callers to each host, by the index of the host. */
    readonly caller: readonly TcpProxy[];
    /** Connections of all hosts to each worker, by the id of the worker. */
    readonly worker: ReadonlyMap<string, TcpProxy>;
  };
  /** Functions that the platform calls; fault injectors replace them. */
  readonly callFaults: {
    /** Draws the fault of a call to the store. */
    store: () => CallFault;
    /** Draws the fault of an order to start or stop a run. */
    order: (worker: ModelWorker) => CallFault;
  };
  /**
   * Ends a host's process and starts a new one after a time. Does nothing if
   * the host is being restarted already.
   */
  restart(
    index: number,
    signal: 'SIGKILL' | 'SIGTERM',
    downMillis: number,
  ): void;
  /** Publishes a new version of the configuration. */
  reconfigure(): void;
  /** Adds an injected fault to the report, with its time. */
  recordFault(description: string): void;
  /** Runs an action after a delay. */
  schedule(delayMillis: number, action: () => void): void;
}

/** Injects one fault, which ends by itself after a bounded time. */
export type FaultInjector = (target: SoakTarget, random: RandomSource) => void;

/** Modes in which a proxy injects a network fault. */
const FAULTY_MODES: readonly ProxyMode[] = [
  'slow',
  'resets',
  'dropsSent',
  'dropsReceived',
];

/** Injects a random network fault for 200 to `maxMillis` milliseconds. */
function injectProxyFault(
  target: SoakTarget,
  random: RandomSource,
  subject: string,
  proxy: TcpProxy,
  maxMillis: number,
): void {
  const mode = random.pick(FAULTY_MODES);
  const millis = random.between(200, maxMillis);
  target.recordFault(`${subject} ${mode} for ${millis} ms`);
  proxy.mode = mode;
  if (random.next() < 0.5) {
    proxy.reset();
  }
  target.schedule(millis, () => {
    proxy.mode = 'open';
    // A connection that lost bytes can't be used again, so it ends as well.
    proxy.reset();
  });
}

function pickHostIndex({site}: SoakTarget, random: RandomSource): number {
  return random.between(0, site.hosts.length - 1);
}

/**
 * Fault injectors by name. All are equally likely. They are drawn by position, so
 * that another order would change the faults that a seed draws.
 */
export const FAULTS: Readonly<Record<string, FaultInjector>> = {
  kill: (target, random) => {
    const index = pickHostIndex(target, random);
    target.restart(index, 'SIGKILL', random.between(50, 2000));
  },
  stop: (target, random) => {
    const index = pickHostIndex(target, random);
    target.restart(index, 'SIGTERM', random.between(50, 1000));
  },
  roll: (target, random) => {
    const gapMillis = random.between(300, 1500);
    target.site.hosts.forEach((_, index) =>
      target.schedule(index * gapMillis, () =>
        target.restart(index, 'SIGTERM', 100),
      ),
    );
  },
  hup: (target, random) => {
    const {name, process, isUp} = random.pick(target.site.hosts);
    // A process that is still loading has no SIGHUP handler and would exit.
    if (isUp) {
      target.recordFault(`${name} SIGHUP`);
      process.kill('SIGHUP');
    }
  },
  pause: (target, random) => {
    const {name, process} = random.pick(target.site.hosts);
    const millis = random.between(200, 4000);
    target.recordFault(`${name} paused for ${millis} ms`);
    process.kill('SIGSTOP');
    target.schedule(millis, () => void process.kill('SIGCONT'));
  },
  storeLink: (target, random) => {
    const index = pickHostIndex(target, random);
    injectProxyFault(
      target,
      random,
      `store of host-${index}`,
      target.proxies.store[index],
      4000,
    );
  },
  adviserLink: (target, random) => {
    const index = pickHostIndex(target, random);
    const proxy = target.proxies.adviser[index];
    injectProxyFault(target, random, `adviser of host-${index}`, proxy, 4000);
  },
  callerLink: (target, random) => {
    const index = pickHostIndex(target, random);
    const proxy = target.proxies.caller[index];
    injectProxyFault(target, random, `callers of host-${index}`, proxy, 2000);
  },
  workerLink: (target, random) => {
    const [id, proxy] = random.pick([...target.proxies.worker]);
    injectProxyFault(target, random, id, proxy, 9000);
  },
  store: (target, random) => {
    const callFault = random.pick<CallFault>([
      'busy',
      'silent',
      'lost',
      'late',
    ]);
    const share = random.pick([0.1, 0.5, 1]);
    const millis = random.between(300, 3000);
    target.recordFault(
      `store ${callFault}, share of calls ${share}, for ${millis} ms`,
    );
    target.callFaults.store = () =>
      random.next() < share ? callFault : 'answered';
    target.schedule(millis, () => {
      target.callFaults.store = () => 'answered';
    });
  },
  orders: (target, random) => {
    const callFault = random.pick<CallFault>([
      'busy',
      'silent',
      'lost',
      'late',
    ]);
    const millis = random.between(500, 4000);
    target.recordFault(
      `orders ${callFault}, share of calls 0.2, for ${millis} ms`,
    );
    target.callFaults.order = () =>
      random.next() < 0.2 ? callFault : 'answered';
    target.schedule(millis, () => {
      target.callFaults.order = () => 'answered';
    });
  },
  workerReborn: (target, random) => {
    const worker = random.pick(target.platform.workers);
    target.recordFault(`${worker.id} restarts`);
    worker.restart();
    const address = target.proxies.worker.get(worker.id)?.address;
    target.schedule(random.between(0, 2000), () =>
      target.platform.writeRegistryEntry(worker, {address}),
    );
  },
  workerStuck: (target, random) => {
    const worker = random.pick(target.platform.workers);
    const millis = random.between(500, 4000);
    target.recordFault(`${worker.id} makes no progress for ${millis} ms`);
    worker.isStalled = true;
    target.schedule(millis, () => {
      worker.isStalled = false;
    });
  },
  configuration: (target, random) => {
    const updates = random.between(1, 5);
    for (let update = 0; update < updates; update++) {
      target.schedule(update * 200, () => target.reconfigure());
    }
  },
};
