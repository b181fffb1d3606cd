import type {
  RunOutcome,
  ReportedEnd,
  WorkerReport,
  StartOrder,
  StartRefusal,
  WorkerRecord,
} from '@samphireramp/fleet';
import {
  type Resources,
  type RunId,
  type Step,
  reservedResources,
  runKey,
  taskKey,
} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {InvariantChecker} from './Judge';

const STOP_MILLIS = 60;
const LONGEST_HOLD_MILLIS = 10_000;
const GANG_WAIT_MILLIS = 3000;
const CHECKPOINT_MILLIS = 500;

/** What a worker must know of a task to run it. */
export interface TaskScript {
  readonly step: Step;
  readonly workMillis: number;
  /** Whether this run of it fails. */
  fails(run: number): boolean;
}

interface ModelRun {
  readonly runId: RunId;
  readonly script: TaskScript;
  readonly startedAt: number;
  /** Work that the checkpoint it started from has done. */
  readonly base: number;
  readonly checkpoint: string;
  beganAt: number | undefined;
  isStopping: boolean;
  isOver: boolean;
}

/** A worker that keeps to the platform's protocol, and is watched. */
export class ModelWorker {
  incarnation: string;
  isUp = true;
  isGone = false;
  isStuck = false;
  failsAll = false;
  private fence = 0;
  private until = 0;
  private clockZero: number;
  private ends: ReportedEnd[] = [];
  private ended = 0;
  private runs: ModelRun[] = [];
  private readonly lastEnded = new Map<string, number>();
  private readonly waiting: Array<() => void> = [];

  constructor(
    readonly id: string,
    readonly rack: string,
    readonly capacity: Resources,
    /** The speed of its clock: 0.98 to 1.02. */
    private readonly clockRate: number,
    private readonly queue: Timeline,
    private readonly judge: InvariantChecker,
    private readonly scriptOf: (place: RunId) => TaskScript | undefined,
    private readonly acceptsTicket: (order: StartOrder) => boolean = () => true,
  ) {
    this.incarnation = `${id}@1`;
    this.clockZero = queue.now;
    this.tick();
  }

  /** Its entry in the list of workers. */
  record(isDraining = false): WorkerRecord {
    return {
      id: this.id,
      incarnation: this.incarnation,
      bootedAt: Number(this.incarnation.split('@')[1]),
      address: this.id,
      zone: 'zone-a',
      rack: this.rack,
      labels: ['kind-a', this.rack],
      pool: 'pool',
      capacity: this.capacity,
      isDraining,
    };
  }

  /** Milliseconds of its own steady clock. */
  clock(): number {
    return (this.queue.now - this.clockZero) * this.clockRate;
  }

  /** Leaves for good, without a word. */
  leave(): void {
    this.restart();
    this.isUp = false;
    this.isGone = true;
  }

  /** Loses everything that runs, and begins another life under its id. */
  restart(): void {
    const lost = this.runs;
    this.runs = [];
    for (const run of lost) {
      run.isOver = true;
      this.judge.onGone(run.runId, this.id);
      if (run.script.step.isGang) {
        this.judge.endGang(run.runId, 'broken');
      }
    }
    const born = Number(this.incarnation.split('@')[1]) + 1;
    this.incarnation = `${this.id}@${born}`;
    this.fence = 0;
    this.until = 0;
    this.ends = [];
    this.ended = 0;
    this.lastEnded.clear();
    this.clockZero = this.queue.now;
  }

  start(
    order: StartOrder,
    term: number,
    until: number,
  ): 'started' | StartRefusal {
    const {runId: place, checkpoint} = order;
    if (term < this.fence) {
      return 'fenced';
    }
    this.fence = term;
    this.lengthen(until);
    if (this.runs.some(run => runKey(run.runId) === runKey(place))) {
      return 'started';
    }
    if (place.run <= (this.lastEnded.get(taskKey(place)) ?? 0)) {
      return 'superseded';
    }
    if (until <= this.clock()) {
      return 'late';
    }
    const script = this.scriptOf(place);
    if (script === undefined) {
      this.judge.reportViolation(
        'UNASKED',
        `${taskKey(place)} was never asked for`,
      );
      return 'malformed';
    }
    if (!this.acceptsTicket(order)) {
      return 'bad-ticket';
    }
    this.judge.onStart(order, this.id, script.step, this.load(script.step));
    const base = checkpoint === '' ? 0 : Number(checkpoint);
    this.runs.push({
      runId: place,
      script,
      startedAt: this.queue.now,
      base,
      checkpoint,
      beganAt: script.step.isGang ? undefined : this.queue.now,
      isStopping: false,
      isOver: false,
    });
    return 'started';
  }

  stop(place: RunId, term: number): 'stopped' | 'fenced' {
    if (term < this.fence) {
      return 'fenced';
    }
    this.fence = term;
    const run = this.runs.find(each => runKey(each.runId) === runKey(place));
    if (run === undefined) {
      const before = this.lastEnded.get(taskKey(place)) ?? 0;
      this.lastEnded.set(taskKey(place), Math.max(before, place.run));
    } else if (!run.isStopping) {
      run.isStopping = true;
      this.queue.after(STOP_MILLIS, () => this.end(run, 'stopped'));
    }
    return 'stopped';
  }

  /** Answers at once, or when an end is there, or when the wait is over. */
  async hold(
    term: number,
    acked: number,
    until: number | undefined,
    waitMillis: number,
  ): Promise<WorkerReport | 'fenced'> {
    if (term < this.fence) {
      return 'fenced';
    }
    this.fence = term;
    this.lengthen(until ?? 0);
    for (const end of this.ends.filter(each => each.number <= acked)) {
      this.judge.onNoted(end);
    }
    this.ends = this.ends.filter(end => end.number > acked);
    if (this.ends.length === 0 && waitMillis > 0) {
      await new Promise<void>(resolve => {
        this.waiting.push(resolve);
        this.queue.after(waitMillis, resolve);
      });
    }
    return {
      clockMillis: Math.floor(this.clock()),
      incarnation: this.incarnation,
      running: this.runs.map(run => ({
        runId: run.runId,
        checkpoint: this.checkpointOf(run),
        percent: Math.floor(this.share(run) * 100),
      })),
      ended: [...this.ends],
    };
  }

  /** Members of a gang begin together once all are there. */
  beginGang(place: RunId): void {
    for (const run of this.runs) {
      if (isSameGang(run.runId, place)) {
        run.beganAt ??= this.queue.now;
      }
    }
  }

  /** How many runs are here. */
  countRuns(): number {
    return this.runs.length;
  }

  /** How many members of a gang's run are here. */
  countGang(place: RunId): number {
    return this.runs.filter(run => isSameGang(run.runId, place)).length;
  }

  /** Ends the members of a gang's run that are here. */
  endGang(place: RunId, how: RunOutcome): void {
    for (const run of [...this.runs]) {
      if (isSameGang(run.runId, place)) {
        this.end(run, how);
      }
    }
  }

  /** Lets time pass; the site calls it often. */
  tick(): void {
    if (this.clock() > this.until) {
      for (const run of [...this.runs]) {
        this.end(run, 'lapsed');
      }
    }
    for (const run of [...this.runs]) {
      this.tickRun(run);
    }
  }

  private tickRun(run: ModelRun): void {
    const {runId: place, script} = run;
    if (script.step.isGang && run.beganAt === undefined) {
      if (this.judge.countGang(place) === script.step.count) {
        this.judge.beginGang(place);
      } else if (this.queue.now - run.startedAt > GANG_WAIT_MILLIS) {
        this.end(run, 'alone');
      }
      return;
    }
    if (run.isStopping || this.isStuck || this.share(run) < 1) {
      return;
    }
    const how = this.failsAll || script.fails(place.run) ? 'failed' : 'done';
    if (script.step.isGang) {
      this.end(run, how);
      this.judge.endGang(place, how === 'done' ? 'done' : 'broken');
    } else {
      this.end(run, how);
    }
  }

  private lengthen(until: number): void {
    const longest = this.clock() + LONGEST_HOLD_MILLIS;
    this.until = Math.max(this.until, Math.min(until, longest));
  }

  private load(step: Step): {
    used: Resources;
    capacity: Resources;
    need: Resources;
  } {
    const used = {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
    for (const run of this.runs) {
      const need = reservedResources(run.script.step);
      used.cpuMillis += need.cpuMillis;
      used.memoryMegabytes += need.memoryMegabytes;
      used.accelerators += need.accelerators;
    }
    return {used, capacity: this.capacity, need: reservedResources(step)};
  }

  private share(run: ModelRun): number {
    if (run.beganAt === undefined || this.isStuck) {
      return 0;
    }
    const done = run.base + this.queue.now - run.beganAt;
    return Math.min(1, done / run.script.workMillis);
  }

  private checkpointOf(run: ModelRun): string {
    if (!run.script.step.savesCheckpoints || run.beganAt === undefined) {
      return run.checkpoint;
    }
    const done = run.base + this.queue.now - run.beganAt;
    const saved = Math.floor(done / CHECKPOINT_MILLIS) * CHECKPOINT_MILLIS;
    return saved > run.base ? String(saved) : run.checkpoint;
  }

  private end(run: ModelRun, how: RunOutcome): void {
    if (run.isOver) {
      return;
    }
    run.isOver = true;
    const {runId: place} = run;
    this.runs = this.runs.filter(each => each !== run);
    this.lastEnded.set(taskKey(place), place.run);
    const checkpoint = how === 'done' ? '' : this.checkpointOf(run);
    this.ends.push({
      number: ++this.ended,
      runId: place,
      outcome: how,
      checkpoint,
    });
    this.judge.onEnd(place, this.id, how);
    this.waiting.splice(0).forEach(resolve => resolve());
    if (run.script.step.isGang && how !== 'done' && how !== 'broken') {
      this.judge.endGang(place, 'broken');
    }
  }
}

function isSameGang(a: RunId, b: RunId): boolean {
  return (
    a.jobId === b.jobId &&
    a.occurrence === b.occurrence &&
    a.step === b.step &&
    a.run === b.run
  );
}
