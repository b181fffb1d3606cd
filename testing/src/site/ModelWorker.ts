import type {
  RunOutcome,
  ReportedEnd,
  WorkerReport,
  StartOrder,
  StartRefusal,
  WorkerRecord,
} from '@samphireramp/fleet';
import {type Resources, type RunId, runKey, taskKey} from '@samphireramp/jobs';
import type {Timeline} from '../EventQueue';
import type {InvariantChecker} from './InvariantChecker';
import {ModelCapacity, sumReserved} from './ModelCapacity';
import {ModelClock} from './ModelClock';
import {type ModelRun, type TaskScript, isSameGangRun} from './ModelRun';

/** Time between an order to stop a run and its end. */
const STOP_DURATION_MILLIS = 60;
/** Bounds a lease; longer ones that a holder asks for are cut to it. */
const MAX_LEASE_MILLIS = 10_000;
/** A gang member ends as `alone` if the others don't start within this time. */
const GANG_TIMEOUT_MILLIS = 3000;
/** Work between two checkpoints of a run. */
const CHECKPOINT_INTERVAL_MILLIS = 500;
/** Maximum number of ends in an answer to a poll; the oldest come first. */
const MAX_LISTED_ENDS = 500;

/** Simulates a worker, which obeys the holder and reports to the checker. */
export class ModelWorker {
  /** Start of this incarnation; may be earlier than that of the one before. */
  born = 1;
  readonly capacity: ModelCapacity;
  isUp = true;
  /** Whether its process has ended, so that connections to it are refused. */
  refusesConnections = false;
  /** How long it is away after a task crashed it. */
  crashRecoveryMillis = 3000;
  /** Called when it is back after a crash. */
  onReturn: () => void = () => undefined;
  /** Whether it has left for good. */
  isGone = false;
  /** Whether its runs are stalled: they report no progress and don't end. */
  isStalled = false;
  /** Work that a run does in a millisecond. */
  speed = 1;
  /** Whether runs whose work is done end as failed. */
  failsAllRuns = false;
  /** Whether its own lease, not that in a start order, decides if that is late. */
  judgesLatenessByOwnLease = false;
  /** Highest term seen; calls with a lower term are fenced. */
  private highestTerm = 0;
  /** End of its lease, by its own clock. */
  private leaseUntil = 0;
  private readonly ownClock: ModelClock;
  /** Ends that no poll has acknowledged yet; each report repeats them. */
  private unacknowledgedEnds: ReportedEnd[] = [];
  /** Number of the latest end; ends are numbered from 1 in each incarnation. */
  private endCount = 0;
  /** Number of the newest end when its lease last had lapsed. */
  private lapsedEnd = 0;
  /** What it runs; only the worker itself changes it. */
  runs: ModelRun[] = [];
  /** Last run that ended or was stopped, by task key; starts need a later one. */
  private readonly lastEnded = new Map<string, number>();
  /** Resolve the polls that wait for a run to end. */
  private readonly waitingPolls: Array<() => void> = [];

  constructor(
    readonly id: string,
    readonly rack: string,
    /** HOST:PORT at which calls reach it. */
    readonly address: string,
    capacity: Resources,
    /** Speed of its clock relative to the timeline: 0.98 to 1.02. */
    clockRate: number,
    private readonly timeline: Timeline,
    private readonly checker: InvariantChecker,
    /** Returns undefined for runs of unknown jobs. */
    private readonly scriptOf: (runId: RunId) => TaskScript | undefined,
    private readonly acceptsTicket: (order: StartOrder) => boolean = () => true,
  ) {
    this.capacity = new ModelCapacity(timeline, capacity);
    this.ownClock = new ModelClock(id, clockRate, timeline);
    this.tick();
  }

  /** Identifies its present lifetime. */
  get incarnation(): string {
    return `${this.id}@${this.born}`;
  }

  /** Returns what its entry in the worker registry says. */
  record(isDraining = false): WorkerRecord {
    return {
      id: this.id,
      incarnation: this.incarnation,
      address: this.address,
      zone: 'zone-a',
      rack: this.rack,
      labels: ['kind-a', this.rack],
      pool: 'pool',
      capacity: this.capacity.current(),
      isDraining,
    };
  }

  /** Returns the time of its own monotonic clock in milliseconds. */
  clock(): number {
    return this.ownClock.read();
  }

  /** Leaves for good without notice; its registry entry stays. */
  leave(): void {
    this.restart();
    this.isUp = false;
    this.isGone = true;
  }

  /** Drops all runs and state, and begins a new incarnation of the same id. */
  restart(born = this.born + 1, firstClockMillis?: number): void {
    const lostRuns = this.runs;
    this.runs = [];
    for (const run of lostRuns) {
      run.hasEnded = true;
      this.checker.onRunLost(run.runId, this.id);
      if (run.script.step.isGang) {
        this.checker.endGang(run.runId, 'broken');
      }
    }
    this.born = born;
    this.highestTerm = 0;
    this.leaseUntil = 0;
    this.unacknowledgedEnds = [];
    this.endCount = 0;
    this.lapsedEnd = 0;
    this.lastEnded.clear();
    this.ownClock.restart(firstClockMillis);
    this.waitingPolls.splice(0).forEach(resolve => resolve());
  }

  /** Ends its process, which begins again after a while under the same id. */
  private crash(): void {
    this.restart();
    this.isUp = false;
    this.refusesConnections = true;
    this.timeline.after(this.crashRecoveryMillis, () => {
      this.refusesConnections = false;
      this.isUp = !this.isGone;
      this.onReturn();
    });
  }

  /** Executes an order to start a run; succeeds again if it already runs. */
  start(
    order: StartOrder,
    term: number,
    leaseUntil: number,
    sentAt = this.timeline.now,
  ): 'started' | StartRefusal {
    const {runId, checkpoint} = order;
    if (term < this.highestTerm) {
      return 'fenced';
    }
    this.highestTerm = term;
    this.extendLease(leaseUntil);
    if (this.runs.some(run => runKey(run.runId) === runKey(runId))) {
      return 'started';
    }
    if (runId.run <= (this.lastEnded.get(taskKey(runId)) ?? 0)) {
      return 'superseded';
    }
    if (this.isLate(leaseUntil)) {
      return 'late';
    }
    const script = this.scriptOf(runId);
    if (script === undefined) {
      this.checker.reportViolation(
        'UNASKED',
        `${taskKey(runId)} belongs to no known job`,
      );
      return 'malformed';
    }
    if (!this.acceptsTicket(order)) {
      return 'bad-ticket';
    }
    const steps = [...this.runs.map(run => run.script.step), script.step];
    this.checker.onStart(order, this.id, script.step, {
      reserved: sumReserved(steps),
      capacities: this.capacity.listValid(sentAt),
    });
    const resumedMillis = checkpoint === '' ? 0 : Number(checkpoint);
    const run: ModelRun = {
      runId,
      script,
      startedAt: this.timeline.now,
      resumedMillis,
      checkpoint,
      workStartedAt: script.step.isGang ? undefined : this.timeline.now,
      isStopping: false,
      hasEnded: false,
    };
    this.runs.push(run);
    if (script.crashMillis !== undefined) {
      this.timeline.after(script.crashMillis, () => {
        if (!run.hasEnded) {
          this.checker.crashes.onCrashCaused(runId);
          this.crash();
        }
      });
    }
    return 'started';
  }

  /** Executes an order to stop a run; refuses its start if that comes later. */
  stop(runId: RunId, term: number): 'stopped' | 'fenced' {
    if (term < this.highestTerm) {
      return 'fenced';
    }
    this.highestTerm = term;
    const run = this.runs.find(each => runKey(each.runId) === runKey(runId));
    if (run === undefined) {
      const lastEndedRun = this.lastEnded.get(taskKey(runId)) ?? 0;
      this.lastEnded.set(taskKey(runId), Math.max(lastEndedRun, runId.run));
    } else if (!run.isStopping) {
      run.isStopping = true;
      this.timeline.after(STOP_DURATION_MILLIS, () =>
        this.endRun(run, 'stopped'),
      );
    }
    return 'stopped';
  }

  /**
   * Renews the lease, drops the ends up to `acknowledgedEnd` and returns a
   * report. If no end is left, waits up to `waitMillis` for one.
   */
  async poll(
    term: number,
    acknowledgedEnd: number,
    leaseUntil: number | undefined,
    waitMillis: number,
  ): Promise<WorkerReport | 'fenced'> {
    if (term < this.highestTerm) {
      return 'fenced';
    }
    this.highestTerm = term;
    this.extendLease(leaseUntil ?? 0);
    for (const end of this.unacknowledgedEnds.filter(
      each => each.endNumber <= acknowledgedEnd,
    )) {
      this.checker.onEndAcknowledged(end, end.endNumber <= this.lapsedEnd);
    }
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter(
      end => end.endNumber > acknowledgedEnd,
    );
    if (this.unacknowledgedEnds.length === 0 && waitMillis > 0) {
      await new Promise<void>(resolve => {
        this.waitingPolls.push(resolve);
        this.timeline.after(waitMillis, resolve);
      });
    }
    const ended = this.unacknowledgedEnds.slice(0, MAX_LISTED_ENDS);
    ended.forEach(end => this.checker.onEndListed(end));
    return {
      clockMillis: Math.floor(this.clock()),
      incarnation: this.incarnation,
      running: this.runs.map(run => ({
        runId: run.runId,
        checkpoint: this.checkpointOf(run),
        percentDone: Math.floor(this.completedShare(run) * 100),
      })),
      ended,
      mayLackEnds: this.unacknowledgedEnds.length >= MAX_LISTED_ENDS,
    };
  }

  /** Lets this worker's members of a gang's run begin their work. */
  beginGang(runId: RunId): void {
    for (const run of this.runs) {
      if (isSameGangRun(run.runId, runId)) {
        run.workStartedAt ??= this.timeline.now;
      }
    }
  }

  /** Returns the number of runs on this worker. */
  countRuns(): number {
    return this.runs.length;
  }

  /** Returns the number of members of a gang's run on this worker. */
  countGang(runId: RunId): number {
    return this.runs.filter(run => isSameGangRun(run.runId, runId)).length;
  }

  /** Ends the members of a gang's run on this worker. */
  endGang(runId: RunId, outcome: RunOutcome): void {
    for (const run of [...this.runs]) {
      if (isSameGangRun(run.runId, runId)) {
        this.endRun(run, outcome);
      }
    }
  }

  /** Ends all runs if the lease has expired, and each run whose work is done. */
  tick(): void {
    if (this.clock() > this.leaseUntil) {
      this.lapsedEnd = this.endCount;
      for (const run of [...this.runs]) {
        this.endRun(run, 'lapsed');
      }
    }
    for (const run of [...this.runs]) {
      this.advanceRun(run);
    }
  }

  /** Begins or gives up the work of a gang member; ends a run that is done. */
  private advanceRun(run: ModelRun): void {
    const {runId, script} = run;
    if (script.step.isGang && run.workStartedAt === undefined) {
      if (this.checker.countGang(runId) === script.step.count) {
        this.checker.beginGang(runId);
      } else if (this.timeline.now - run.startedAt > GANG_TIMEOUT_MILLIS) {
        this.endRun(run, 'alone');
      }
      return;
    }
    if (run.isStopping || this.isStalled || this.completedShare(run) < 1) {
      return;
    }
    const outcome =
      this.failsAllRuns || script.fails(runId.run) ? 'failed' : 'done';
    if (script.step.isGang) {
      this.endRun(run, outcome);
      this.checker.endGang(runId, outcome === 'done' ? 'done' : 'broken');
    } else {
      this.endRun(run, outcome);
    }
  }

  /** Whether a start order with this lease end arrives too late. */
  private isLate(leaseUntil: number): boolean {
    const until = this.judgesLatenessByOwnLease ? this.leaseUntil : leaseUntil;
    return until <= this.clock();
  }

  /** Extends the lease up to a time of this worker's clock; never shortens it. */
  private extendLease(leaseUntil: number): void {
    const latest = this.clock() + MAX_LEASE_MILLIS;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(leaseUntil, latest));
  }

  /** Returns the share of the work that is done, from 0 to 1. */
  private completedShare(run: ModelRun): number {
    if (run.workStartedAt === undefined || this.isStalled) {
      return 0;
    }
    const doneMillis =
      run.resumedMillis + (this.timeline.now - run.workStartedAt) * this.speed;
    return Math.min(1, doneMillis / run.script.workMillis);
  }

  /** Returns the newest checkpoint of a run; empty for none. */
  private checkpointOf(run: ModelRun): string {
    if (!run.script.step.savesCheckpoints || run.workStartedAt === undefined) {
      return run.checkpoint;
    }
    const doneMillis =
      run.resumedMillis + this.timeline.now - run.workStartedAt;
    const savedMillis =
      Math.floor(doneMillis / CHECKPOINT_INTERVAL_MILLIS) *
      CHECKPOINT_INTERVAL_MILLIS;
    return savedMillis > run.resumedMillis
      ? String(savedMillis)
      : run.checkpoint;
  }

  /** Ends a run and its gang, and answers the waiting polls. */
  private endRun(run: ModelRun, outcome: RunOutcome): void {
    if (run.hasEnded) {
      return;
    }
    run.hasEnded = true;
    const {runId} = run;
    this.runs = this.runs.filter(each => each !== run);
    this.lastEnded.set(taskKey(runId), runId.run);
    const checkpoint = outcome === 'done' ? '' : this.checkpointOf(run);
    this.unacknowledgedEnds.push({
      endNumber: ++this.endCount,
      runId,
      outcome,
      checkpoint,
    });
    this.checker.onEnd(runId, this.id, outcome);
    this.waitingPolls.splice(0).forEach(resolve => resolve());
    if (run.script.step.isGang && outcome !== 'done' && outcome !== 'broken') {
      this.checker.endGang(runId, 'broken');
    }
  }
}
