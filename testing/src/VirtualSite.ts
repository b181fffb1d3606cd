import {
  APPENDED,
  APPEND_BATCH,
  APPEND_FAILED,
  JOURNAL_READ,
  JOURNAL_UNREADABLE,
  READ_JOURNAL,
} from '@samphireramp/journal';
import type {Kernel, PayloadOf} from '@samphireramp/kernel';
import {PEER_MESSAGE, SEND_TO_PEER} from '@samphireramp/membership';
import {
  CONFIGURATION_STREAM,
  type Declaration,
  type ListedHost,
} from '@samphireramp/model';
import {
  EXCHANGE,
  WORKER_ANSWERED,
  WORKER_SILENT,
} from '@samphireramp/ownership';
import {EXECUTE, EXECUTED, EXECUTION_SILENT} from '@samphireramp/scheduling';
import {LogModel} from '@samphireramp/stand-ins';
import {EventQueue} from './EventQueue';
import {VirtualHost} from './VirtualHost';
import {VirtualWorker} from './VirtualWorker';

const EXCHANGE_MILLIS = 1000;
const EXECUTE_MILLIS = 1500;
const LOG_MILLIS = 20;
const DAY_MILLIS = 86_400_000;

/** How messages fare on their way. */
export interface Weather {
  /** Part of the messages that are lost. */
  readonly loss: number;
  /** Part of the messages that come twice. */
  readonly duplication: number;
  readonly shortestDelay: number;
  readonly longestDelay: number;
}

/** Messages that arrive soon and surely. */
export const CALM: Weather = {
  loss: 0,
  duplication: 0,
  shortestDelay: 1,
  longestDelay: 3,
};

/** What a virtual site is made with. */
export interface VirtualSiteOptions {
  readonly declaration: Declaration;
  readonly hostsInZone: number;
  readonly random: () => number;
  /** Clocks run fast or slow by at most this part. */
  readonly largestDrift: number;
}

/** Hosts with their real decisions, worker models and a log, without a wire. */
export class VirtualSite {
  readonly queue = new EventQueue();
  readonly log = new LogModel(() => this.queue.now, DAY_MILLIS);
  readonly hosts: VirtualHost[] = [];
  readonly workers: VirtualWorker[];
  readonly errors: unknown[] = [];
  weather = CALM;
  /** Whether two hosts can hear each other. */
  canHear: (from: VirtualHost, to: VirtualHost) => boolean = () => true;
  private readonly seeds: ListedHost[];

  constructor(private readonly options: VirtualSiteOptions) {
    const {declaration, hostsInZone} = options;
    this.workers = declaration.workers.map(
      worker =>
        new VirtualWorker(
          this.queue,
          worker,
          declaration.control.leaseMillis,
          this.drawDrift(),
        ),
    );
    this.seeds = declaration.zones.flatMap(({name: zone}) =>
      Array.from({length: hostsInZone}, (_, index) => ({
        name: `${zone}-e${index}`,
        zone,
        peerAddress: `${zone}-e${index}`,
        state: 'live' as const,
      })),
    );
    this.seeds.forEach(seed => this.hosts.push(this.createHost(seed, 0)));
    this.publish(declaration, 0);
  }

  /** Appends a declaration and shows the stream to every host. */
  publish(declaration: Declaration, expectedRevision: number): void {
    this.log.append(CONFIGURATION_STREAM, {
      changeId: `change-${this.queue.now}`,
      author: 'test',
      expectedRevision,
      declaration,
    });
    this.hosts.forEach(host => this.showConfiguration(host));
  }

  /** Ends a host; an empty one with its name comes after a delay. */
  replace(host: VirtualHost, afterMillis: number): void {
    host.isAlive = false;
    this.queue.after(afterMillis, () => {
      const index = this.hosts.findIndex(
        other => other.self.name === host.self.name,
      );
      const {run} = host.options;
      const seed = this.seeds.find(({name}) => name === host.self.name);
      if (seed !== undefined && !this.hosts[index].isAlive) {
        this.hosts[index] = this.createHost(seed, run + 1);
        this.showConfiguration(this.hosts[index]);
      }
    });
  }

  private createHost(seed: ListedHost, run: number): VirtualHost {
    const links = {
      register: (kernel: Kernel, host: VirtualHost) =>
        this.connect(kernel, host),
    };
    return new VirtualHost(
      this.queue,
      {
        name: seed.name,
        zone: seed.zone,
        run,
        drift: this.drawDrift(),
        peers: this.seeds,
        random: this.options.random,
        onError: error => this.errors.push(error),
      },
      links,
    );
  }

  private showConfiguration(host: VirtualHost): void {
    const page = this.log.read(CONFIGURATION_STREAM, 0);
    this.queue.after(LOG_MILLIS, () => host.configure(page, 0));
  }

  private connect(kernel: Kernel, host: VirtualHost): void {
    kernel.registerEffect(SEND_TO_PEER, ({to, message}) => {
      const copy = structuredClone(message);
      this.carry(() => {
        const target = this.hosts.find(other => other.self.name === to);
        if (target !== undefined && this.canHear(host, target)) {
          const from = host.self.name;
          target.whenRunning(() =>
            target.kernel.dispatch(PEER_MESSAGE, {from, message: copy}),
          );
        }
      });
    });
    kernel.registerEffect(EXCHANGE, payload => this.exchange(host, payload));
    kernel.registerEffect(EXECUTE, payload => this.execute(host, payload));
    kernel.registerEffect(APPEND_BATCH, ({shardId, batch}) => {
      this.queue.after(LOG_MILLIS, () => {
        const {isDown} = this.log.faults;
        if (!isDown) {
          this.log.append(shardId, structuredClone(batch));
        }
        const isTold = !isDown && !this.log.losesAnswer();
        const {sequence} = batch;
        host.whenRunning(() =>
          isTold
            ? kernel.dispatch(APPENDED, {shardId, sequence})
            : kernel.dispatch(APPEND_FAILED, {shardId}),
        );
      });
    });
    kernel.registerEffect(READ_JOURNAL, ({shardId, recoveryId, from}) => {
      this.queue.after(LOG_MILLIS, () => {
        const page = structuredClone(this.log.read(shardId, from));
        const {isDown} = this.log.faults;
        host.whenRunning(() =>
          isDown
            ? kernel.dispatch(JOURNAL_UNREADABLE, {shardId, recoveryId})
            : kernel.dispatch(JOURNAL_READ, {shardId, recoveryId, page}),
        );
      });
    });
  }

  private exchange(
    host: VirtualHost,
    {worker, request, sendBefore}: PayloadOf<typeof EXCHANGE>,
  ): void {
    const sentAt = host.now;
    const target = this.workerNamed(worker);
    if (sentAt > sendBefore || target === undefined) {
      return;
    }
    let isAnswered = false;
    this.carry(() => {
      if (!target.isReachable) {
        return;
      }
      const answer = target.exchange(structuredClone(request));
      this.carry(() => {
        isAnswered = true;
        host.whenRunning(() =>
          host.kernel.dispatch(WORKER_ANSWERED, {
            worker,
            request,
            sentAt,
            receivedAt: host.now,
            answer: structuredClone(answer),
          }),
        );
      });
    });
    this.queue.after(EXCHANGE_MILLIS, () => {
      if (!isAnswered) {
        const detail = 'no answer';
        host.whenRunning(() =>
          host.kernel.dispatch(WORKER_SILENT, {worker, detail}),
        );
      }
    });
  }

  private execute(
    host: VirtualHost,
    {callId, worker, request, sendBefore}: PayloadOf<typeof EXECUTE>,
  ): void {
    const {attempt} = request;
    const target = this.workerNamed(worker);
    if (host.now > sendBefore || target === undefined) {
      const silent = {callId, attempt, sent: false};
      this.queue.after(0, () =>
        host.whenRunning(() => host.kernel.dispatch(EXECUTION_SILENT, silent)),
      );
      return;
    }
    let isAnswered = false;
    this.carry(() => {
      if (!target.isReachable) {
        return;
      }
      target.execute(structuredClone(request), answer =>
        this.carry(() => {
          isAnswered = true;
          host.whenRunning(() =>
            host.kernel.dispatch(EXECUTED, {callId, answer}),
          );
        }),
      );
    });
    this.queue.after(EXECUTE_MILLIS, () => {
      if (!isAnswered) {
        const silent = {callId, attempt, sent: true};
        host.whenRunning(() => host.kernel.dispatch(EXECUTION_SILENT, silent));
      }
    });
  }

  private workerNamed(name: string): VirtualWorker | undefined {
    return this.workers.find(worker => worker.declaration.name === name);
  }

  /** Delivers a message as the weather has it: late, twice, or never. */
  private carry(deliver: () => void): void {
    const {random} = this.options;
    const {loss, duplication, shortestDelay, longestDelay} = this.weather;
    const copies = random() < duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (random() >= loss) {
        const range = longestDelay - shortestDelay;
        this.queue.after(shortestDelay + random() * range, deliver);
      }
    }
  }

  private drawDrift(): number {
    return (this.options.random() * 2 - 1) * this.options.largestDrift;
  }
}
