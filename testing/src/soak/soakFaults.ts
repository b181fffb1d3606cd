import type {CallFault, ModelWorker, Platform, SiteProcesses} from '../site';
import type {Link, LinkMode} from './startLink';

/** Draws for one run of the soak. */
export interface Draws {
  random(): number;
  /** A whole number, both bounds included. */
  between(least: number, most: number): number;
  pick<Type>(list: readonly Type[]): Type;
}

/** What faults may be done to. */
export interface SoakSite {
  readonly platform: Platform;
  readonly site: SiteProcesses;
  readonly links: {
    /** One for each host, to the store, to the adviser, and from callers. */
    readonly store: readonly Link[];
    readonly adviser: readonly Link[];
    readonly caller: readonly Link[];
    /** By the id of a worker. */
    readonly worker: ReadonlyMap<string, Link>;
  };
  /** How the platform treats calls; faults change it. */
  readonly fates: {
    store: () => CallFault;
    order: (worker: ModelWorker) => CallFault;
  };
  /** Ends a host's process and starts another; undefined: it is on the way. */
  restart(index: number, signal: 'SIGKILL' | 'SIGTERM', pause: number): void;
  /** Puts another configuration in force. */
  reconfigure(): void;
  note(event: string): void;
  /** Runs something later, unless the storm is over by then. */
  later(millis: number, run: () => void): void;
}

/** Does one fault, which ends by itself. */
export type Fault = (soak: SoakSite, draws: Draws) => void;

const HARMS: readonly LinkMode[] = ['slow', 'refuses', 'deaf', 'mute'];

function harm(
  soak: SoakSite,
  draws: Draws,
  what: string,
  link: Link,
  most: number,
): void {
  const mode = draws.pick(HARMS);
  const millis = draws.between(200, most);
  soak.note(`${what} ${mode} for ${millis} ms`);
  link.mode = mode;
  if (draws.random() < 0.5) {
    link.reset();
  }
  soak.later(millis, () => {
    link.mode = 'open';
    // Connections that lost bytes end with the harm, as a network's do.
    link.reset();
  });
}

function anyHost({site}: SoakSite, draws: Draws): number {
  return draws.between(0, site.hosts.length - 1);
}

/** Faults by name; each is drawn as often as the others. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  kill: (soak, draws) => {
    const index = anyHost(soak, draws);
    soak.restart(index, 'SIGKILL', draws.between(50, 2000));
  },
  stop: (soak, draws) => {
    const index = anyHost(soak, draws);
    soak.restart(index, 'SIGTERM', draws.between(50, 1000));
  },
  roll: (soak, draws) => {
    const gap = draws.between(300, 1500);
    soak.site.hosts.forEach((_, index) =>
      soak.later(index * gap, () => soak.restart(index, 'SIGTERM', 100)),
    );
  },
  hup: (soak, draws) => {
    const {name, process, isUp} = draws.pick(soak.site.hosts);
    // Before its first line runs, no program of the runtime takes a signal.
    if (isUp) {
      soak.note(`${name} SIGHUP`);
      process.kill('SIGHUP');
    }
  },
  pause: (soak, draws) => {
    const {name, process} = draws.pick(soak.site.hosts);
    const millis = draws.between(200, 4000);
    soak.note(`${name} paused for ${millis} ms`);
    process.kill('SIGSTOP');
    soak.later(millis, () => void process.kill('SIGCONT'));
  },
  storeLink: (soak, draws) => {
    const index = anyHost(soak, draws);
    harm(soak, draws, `store of host-${index}`, soak.links.store[index], 4000);
  },
  adviserLink: (soak, draws) => {
    const index = anyHost(soak, draws);
    const link = soak.links.adviser[index];
    harm(soak, draws, `adviser of host-${index}`, link, 4000);
  },
  callerLink: (soak, draws) => {
    const index = anyHost(soak, draws);
    const link = soak.links.caller[index];
    harm(soak, draws, `callers of host-${index}`, link, 2000);
  },
  workerLink: (soak, draws) => {
    const [id, link] = draws.pick([...soak.links.worker]);
    harm(soak, draws, id, link, 9000);
  },
  store: (soak, draws) => {
    const fate = draws.pick<CallFault>(['busy', 'silent', 'lost', 'late']);
    const share = draws.pick([0.1, 0.5, 1]);
    const millis = draws.between(300, 3000);
    soak.note(`store ${fate} for ${share} of calls in ${millis} ms`);
    soak.fates.store = () => (draws.random() < share ? fate : 'answered');
    soak.later(millis, () => {
      soak.fates.store = () => 'answered';
    });
  },
  orders: (soak, draws) => {
    const fate = draws.pick<CallFault>(['busy', 'silent', 'lost', 'late']);
    const millis = draws.between(500, 4000);
    soak.note(`orders ${fate} for a fifth in ${millis} ms`);
    soak.fates.order = () => (draws.random() < 0.2 ? fate : 'answered');
    soak.later(millis, () => {
      soak.fates.order = () => 'answered';
    });
  },
  workerReborn: (soak, draws) => {
    const worker = draws.pick(soak.platform.workers);
    soak.note(`${worker.id} starts anew`);
    worker.restart();
    const address = soak.links.worker.get(worker.id)?.address;
    soak.later(draws.between(0, 2000), () =>
      soak.platform.list(worker, {address}),
    );
  },
  workerStuck: (soak, draws) => {
    const worker = draws.pick(soak.platform.workers);
    const millis = draws.between(500, 4000);
    soak.note(`${worker.id} stands still for ${millis} ms`);
    worker.isStuck = true;
    soak.later(millis, () => {
      worker.isStuck = false;
    });
  },
  configuration: (soak, draws) => {
    const times = draws.between(1, 5);
    for (let time = 0; time < times; time++) {
      soak.later(time * 200, () => soak.reconfigure());
    }
  },
};
