import type {CallOutcome, Declaration} from '@samphireramp/model';
import {jobHasEnded} from './jobHasEnded';
import {createRandom} from './seededRandom';
import type {VirtualHost} from './VirtualHost';
import {CALM, VirtualSite, type Weather} from './VirtualSite';
import type {VirtualWorker} from './VirtualWorker';

/** Faults of one kind in each virtual minute, on average. */
export interface FaultRates {
  readonly hostKills: number;
  readonly hostPauses: number;
  readonly hostCuts: number;
  readonly workerRestarts: number;
  readonly workerCuts: number;
  readonly logOutages: number;
  readonly cancellations: number;
}

/** A schedule with no fault. */
export const NO_FAULT_RATES: FaultRates = {
  hostKills: 0,
  hostPauses: 0,
  hostCuts: 0,
  workerRestarts: 0,
  workerCuts: 0,
  logOutages: 0,
  cancellations: 0,
};

/** What one random schedule is made of. */
export interface ScheduleOptions {
  readonly seed: number;
  readonly declaration: Declaration;
  readonly hostsInZone: number;
  readonly faults: FaultRates;
  readonly weather: Weather;
  readonly largestDrift: number;
  /** Virtual time with faults, and then without. */
  readonly stormMillis: number;
  readonly calmMillis: number;
  readonly jobs: number;
  readonly requests: number;
  /** Longest pause and cut of a schedule. */
  readonly longestFaultMillis: number;
  /** Changes a site before it starts, to see a check fail. */
  readonly prepare?: (site: VirtualSite) => void;
}

/** What a schedule came to. */
export interface ScheduleReport {
  /** Broken promises, each in words. */
  readonly violations: readonly string[];
  readonly errors: readonly unknown[];
  readonly acceptedJobs: number;
  readonly unendedJobs: readonly string[];
  readonly outcomes: ReadonlyMap<CallOutcome['outcome'], number>;
  readonly site: VirtualSite;
}

/** How often a key was asked for, and refused as not run. */
interface AskedKey {
  calls: number;
  refusals: number;
  /** Whether it must not run twice. */
  readonly isOnce: boolean;
}

const NEVER_ASKED: AskedKey = {calls: 0, refusals: 0, isOnce: true};
const CALL_MILLIS = 8000;
const MINUTE_MILLIS = 60_000;

/** Runs one random schedule and checks the promises after each event. */
export function runSchedule(options: ScheduleOptions): ScheduleReport {
  const run = new ScheduleRun(options);
  return run.run();
}

class ScheduleRun {
  private readonly random: () => number;
  private readonly site: VirtualSite;
  private readonly violations = new Set<string>();
  private readonly outcomes = new Map<CallOutcome['outcome'], number>();
  private readonly accepted = new Set<string>();
  /** Calls and refusals as not run, by key. */
  private readonly asked = new Map<string, AskedKey>();
  private isStormy = true;

  constructor(private readonly options: ScheduleOptions) {
    this.random = createRandom(options.seed);
    this.site = new VirtualSite({
      declaration: options.declaration,
      hostsInZone: options.hostsInZone,
      random: this.random,
      largestDrift: options.largestDrift,
    });
    this.site.weather = options.weather;
    options.prepare?.(this.site);
  }

  run(): ScheduleReport {
    const {stormMillis, calmMillis} = this.options;
    this.planFaults();
    this.planWork();
    const {queue} = this.site;
    queue.runUntil(stormMillis, () => this.check());
    this.calmDown();
    queue.runUntil(stormMillis + calmMillis, () => this.check());
    this.checkRefusals();
    return {
      violations: [...this.violations],
      errors: this.site.errors,
      acceptedJobs: this.accepted.size,
      unendedJobs: this.findUnended(),
      outcomes: this.outcomes,
      site: this.site,
    };
  }

  private calmDown(): void {
    this.isStormy = false;
    this.site.weather = CALM;
    this.site.canHear = () => true;
    this.site.log.faults = {...this.site.log.faults, isDown: false};
    this.site.workers.forEach(worker => {
      worker.isReachable = true;
    });
  }

  private planFaults(): void {
    const {faults} = this.options;
    this.planKind(faults.hostKills, () =>
      this.site.replace(this.anyHost(), this.faultMillis()),
    );
    this.planKind(faults.hostPauses, () => {
      const host = this.anyHost();
      host.pausedUntil = this.site.queue.now + this.faultMillis();
    });
    this.planKind(faults.hostCuts, () => this.cutHost(this.anyHost()));
    this.planKind(faults.workerRestarts, () => this.anyWorker().restart());
    this.planKind(faults.workerCuts, () => this.cutWorker(this.anyWorker()));
    this.planKind(faults.logOutages, () => this.stopLog());
    this.planKind(faults.cancellations, () => this.cancelSome());
  }

  /** Plans events at random times, as many as the rate gives. */
  private planKind(eachMinute: number, happen: () => void): void {
    const {stormMillis} = this.options;
    const count = Math.round((eachMinute * stormMillis) / MINUTE_MILLIS);
    for (let index = 0; index < count; index++) {
      this.site.queue.after(this.random() * stormMillis, happen);
    }
  }

  private planWork(): void {
    const {stormMillis, jobs, requests} = this.options;
    const workloads = this.options.declaration.workloads;
    const {queue} = this.site;
    const ofJobs = workloads.filter(workload => workload.kind !== 'service');
    const ofRequests = workloads.filter(({kind}) => kind === 'service');
    for (let index = 0; index < jobs; index++) {
      const workload = ofJobs[index % ofJobs.length];
      const at = this.random() * stormMillis;
      queue.after(at, () => this.submit(`job-${index}`, workload.name));
    }
    for (let index = 0; index < requests; index++) {
      const workload = ofRequests[index % ofRequests.length];
      const at = this.random() * stormMillis;
      queue.after(at, () => this.ask(`request-${index}`, workload.name));
    }
  }

  private submit(key: string, workload: string): void {
    const member = this.memberFor(workload);
    const tasks = 1 + Math.floor(this.random() * 3);
    const runMillis = 200 + Math.floor(this.random() * 4000);
    const request = {key, workload, member, tasks, input: {runMillis}};
    this.call({call: 'submit', request}, outcome => {
      if (outcome.outcome === 'accepted') {
        this.accepted.add(key);
      }
    });
  }

  private ask(key: string, workload: string): void {
    const member = this.memberFor(workload);
    const runMillis = 10 + Math.floor(this.random() * 300);
    const request = {key, workload, member, input: {runMillis, key}};
    const isIdempotent = this.options.declaration.workloads.some(
      item => item.name === workload && item.idempotent,
    );
    const asked: AskedKey = {calls: 0, refusals: 0, isOnce: !isIdempotent};
    this.asked.set(key, asked);
    const send = () => {
      asked.calls++;
      this.call({call: 'request', request}, outcome => {
        if (outcome.outcome === 'not-run') {
          asked.refusals++;
        } else if (outcome.outcome === 'answered') {
          this.checkAnswer(key, outcome.output);
        }
      });
    };
    send();
    // An impatient caller asks again under the same key, elsewhere.
    if (!isIdempotent && this.random() < 0.5) {
      this.site.queue.after(this.random() * 3000, send);
    }
  }

  private call(
    call: Parameters<VirtualHost['call']>[0],
    use: (outcome: CallOutcome) => void,
  ): void {
    const host = this.anyHost();
    host.call(call, CALL_MILLIS, outcome => {
      const {outcome: kind} = outcome;
      this.outcomes.set(kind, (this.outcomes.get(kind) ?? 0) + 1);
      use(outcome);
    });
  }

  private checkAnswer(key: string, output: unknown): void {
    if ((output as {key?: unknown} | undefined)?.key !== key) {
      this.violations.add(`${key} got the answer of another request`);
    }
  }

  private check(): void {
    const places = new Map<string, number>();
    for (const {model, declaration} of this.site.workers) {
      model.advance(this.clockOf(declaration.name));
      if (model.isOverloaded) {
        this.violations.add(`${declaration.name} holds more than it can`);
      }
      for (const {taskId} of model.running) {
        places.set(taskId, (places.get(taskId) ?? 0) + 1);
      }
    }
    for (const [taskId, count] of places) {
      if (count > 1) {
        this.violations.add(`${taskId} runs in ${count} places`);
      }
    }
    this.checkRequests();
  }

  private checkRequests(): void {
    for (const [key, count] of this.countBegun()) {
      if (count > 1 && this.asked.get(key)?.isOnce === true) {
        this.violations.add(`${key} ran ${count} times`);
      }
    }
  }

  /** A key may run after a refusal only if it was asked for again. */
  private checkRefusals(): void {
    for (const [key] of this.countBegun()) {
      const {calls, refusals, isOnce} = this.asked.get(key) ?? NEVER_ASKED;
      if (isOnce && calls === refusals) {
        this.violations.add(`${key} ran, and was refused as not run`);
      }
    }
  }

  private countBegun(): Map<string, number> {
    const begun = new Map<string, number>();
    for (const worker of this.site.workers) {
      for (const [key, count] of worker.begun) {
        begun.set(key, (begun.get(key) ?? 0) + count);
      }
    }
    return begun;
  }

  private clockOf(name: string): number {
    const worker = this.site.workers.find(
      item => item.declaration.name === name,
    );
    return worker?.clock ?? 0;
  }

  private findUnended(): string[] {
    const unended = new Set(this.accepted);
    for (const host of this.site.hosts) {
      for (const key of this.accepted) {
        if (jobHasEnded(host, key)) {
          unended.delete(key);
        }
      }
    }
    return [...unended];
  }

  private cancelSome(): void {
    for (const key of this.accepted) {
      if (this.random() < 0.5) {
        this.call({call: 'cancel', key}, () => {});
      }
    }
  }

  private cutHost(host: VirtualHost): void {
    const before = this.site.canHear;
    this.site.canHear = (from, to) =>
      from !== host && to !== host && before(from, to);
    this.site.queue.after(this.faultMillis(), () => {
      this.site.canHear = () => true;
    });
  }

  private cutWorker(worker: VirtualWorker): void {
    worker.isReachable = false;
    this.site.queue.after(this.faultMillis(), () => {
      worker.isReachable = true;
    });
  }

  private stopLog(): void {
    const {log, queue} = this.site;
    log.faults = {...log.faults, isDown: true};
    queue.after(this.faultMillis(), () => {
      log.faults = {...log.faults, isDown: false};
    });
  }

  private faultMillis(): number {
    return this.isStormy ? this.random() * this.options.longestFaultMillis : 0;
  }

  private anyHost(): VirtualHost {
    const {hosts} = this.site;
    return hosts[Math.floor(this.random() * hosts.length)];
  }

  private anyWorker(): VirtualWorker {
    const {workers} = this.site;
    return workers[Math.floor(this.random() * workers.length)];
  }

  private memberFor(workload: string): string {
    const {workloads, teams} = this.options.declaration;
    const team = workloads.find(item => item.name === workload)?.teams[0];
    const members = teams.find(item => item.name === team)?.members ?? [];
    return members[Math.floor(this.random() * members.length)]?.name ?? '';
  }
}
