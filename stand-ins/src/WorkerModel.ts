import {
  type ExchangeAnswer,
  type ExchangeRequest,
  type ExecuteRequest,
  type InventoryEntry,
  type Refusal,
  type ResourceVector,
  type StartOrder,
  type StopOrder,
  NO_RESOURCES,
  addResources,
  isWithin,
  toResourceVector,
} from '@samphireramp/model';

/** Ended attempts that a worker remembers when nobody asks it to forget. */
const ENDED_KEPT = 1000;

/** What a worker model is made with. Clock values are milliseconds. */
export interface WorkerModelOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly capacity: ResourceVector;
  /** Clock value at the start; no lease is granted for one lease length. */
  readonly startedAt: number;
  readonly quietMillis: number;
  /** Usage reports are this old. */
  readonly usageLagMillis: number;
  /** Whether work that finds no room is refused; tests turn this off. */
  readonly refusesOverload: boolean;
  /** How long an attempt runs, and whether it succeeds. */
  readonly runOf: (order: StartOrder) => TaskRun;
}

/** How an attempt will go. */
export interface TaskRun {
  readonly millis: number;
  readonly succeeds: boolean;
}

interface AttemptRow {
  readonly entry: InventoryEntry;
  readonly revision: number;
  readonly endsAt: number;
  readonly succeeds: boolean;
  readonly leaseUntil: number;
}

interface Lease {
  readonly holder: string;
  readonly until: number;
}

interface UsageSample {
  readonly at: number;
  readonly used: ResourceVector;
}

/** The lease service of one worker, as a model without transport or timers. */
export class WorkerModel {
  leaving = false;
  private lease: Lease | undefined;
  private highestTerm = 0;
  private revision = 0;
  private readonly attempts = new Map<string, AttemptRow>();
  private readonly executions = new Map<string, ExecuteRequest>();
  private samples: UsageSample[] = [];

  constructor(private readonly options: WorkerModelOptions) {}

  /** Attempts that run, and requests under way. */
  get running(): InventoryEntry[] {
    return [...this.attempts.values()]
      .map(row => row.entry)
      .filter(entry => entry.state === 'running');
  }

  /** Requests under way. */
  get executing(): ExecuteRequest[] {
    return [...this.executions.values()];
  }

  /** Whether more runs than the worker can hold. */
  get isOverloaded(): boolean {
    return !isWithin(this.used, this.options.capacity);
  }

  /** What runs, by kind of resource. */
  get used(): ResourceVector {
    const sizes = [...this.running, ...this.executing].map(item => item.size);
    return sizes
      .map(toResourceVector)
      .reduce((sum, need) => addResources(sum, need), NO_RESOURCES);
  }

  /** Ends what is over at a clock value. */
  advance(clock: number): void {
    for (const [id, row] of this.attempts) {
      if (row.entry.state !== 'running') {
        continue;
      }
      if (clock >= row.endsAt) {
        this.end(id, row, row.succeeds ? 'succeeded' : 'failed');
      } else if (clock >= row.leaseUntil) {
        this.end(id, row, 'stopped');
      }
    }
    this.sampleUsage(clock);
  }

  /** Answers an exchange that arrives at a clock value. */
  exchange(request: ExchangeRequest, clock: number): ExchangeAnswer {
    this.advance(clock);
    const refusal = this.refusalOf(request, clock);
    if (refusal !== undefined) {
      return this.answer(request, clock, refusal, []);
    }
    this.highestTerm = Math.max(this.highestTerm, request.term);
    if (request.release) {
      this.lease = undefined;
      return this.answer(request, clock, undefined, []);
    }
    this.grant(request, clock);
    request.stops.forEach(stop => this.stop(stop));
    request.forgets.forEach(({taskId, attempt}) =>
      this.attempts.delete(attemptId(taskId, attempt)),
    );
    const refused = request.starts.flatMap(start => {
      const reason = this.start(request, start, clock);
      const {taskId, attempt} = start;
      return reason === undefined ? [] : [{taskId, attempt, reason}];
    });
    return this.answer(request, clock, undefined, refused);
  }

  /** Why a request may not begin at a clock value; undefined if it may. */
  beginExecution(request: ExecuteRequest, clock: number): Refusal | undefined {
    this.advance(clock);
    if (
      request.incarnation !== this.options.incarnation ||
      clock > request.deadline
    ) {
      return 'late';
    }
    const isHolder = this.lease?.holder === request.holder;
    if (!isHolder || clock >= (this.lease?.until ?? 0)) {
      return 'no-lease';
    }
    if (this.leaving) {
      return 'leaving';
    }
    if (!this.hasRoom(request.size)) {
      return 'no-room';
    }
    this.executions.set(request.requestId, request);
    return undefined;
  }

  /** A request is over. */
  endExecution(requestId: string): void {
    this.executions.delete(requestId);
  }

  private refusalOf(
    request: ExchangeRequest,
    clock: number,
  ): Refusal | undefined {
    const isOtherRun =
      request.incarnation !== undefined &&
      request.incarnation !== this.options.incarnation;
    const isLate =
      request.leaseUntil !== undefined && clock >= request.leaseUntil;
    if (request.leaseUntil !== undefined && (isOtherRun || isLate)) {
      return 'late';
    }
    if (request.term < this.highestTerm) {
      return 'older-term';
    }
    const isQuiet = clock < this.options.startedAt + this.options.quietMillis;
    const isHeld =
      this.lease !== undefined &&
      this.lease.holder !== request.holder &&
      clock < this.lease.until;
    return isQuiet || isHeld ? 'held' : undefined;
  }

  private grant(request: ExchangeRequest, clock: number): void {
    const full = clock + request.leaseMillis;
    const until = Math.min(full, request.leaseUntil ?? full);
    const before = this.lease?.holder === request.holder ? this.lease.until : 0;
    this.lease = {holder: request.holder, until: Math.max(before, until)};
    if (request.leaseUntil !== undefined) {
      const extra = request.taskLeaseMillis - request.leaseMillis;
      this.lengthenTaskLeases(until + extra);
    }
  }

  /** Only a holder that knows this clock lengthens the leases of tasks. */
  private lengthenTaskLeases(until: number): void {
    for (const [id, row] of this.attempts) {
      if (row.leaseUntil < until) {
        this.attempts.set(id, {...row, leaseUntil: until});
      }
    }
  }

  private start(
    request: ExchangeRequest,
    order: StartOrder,
    clock: number,
  ): Refusal | undefined {
    const id = attemptId(order.taskId, order.attempt);
    if (this.attempts.has(id)) {
      return undefined;
    }
    if (request.leaseUntil === undefined || clock > order.deadline) {
      return 'late';
    }
    if (this.leaving) {
      return 'leaving';
    }
    if (!this.hasRoom(order.size)) {
      return 'no-room';
    }
    const run = this.options.runOf(order);
    const {taskId, attempt, workload, size} = order;
    this.attempts.set(id, {
      entry: {kind: 'task', taskId, attempt, state: 'running', workload, size},
      revision: ++this.revision,
      endsAt: clock + run.millis,
      succeeds: run.succeeds,
      leaseUntil: clock + request.taskLeaseMillis,
    });
    return undefined;
  }

  /** A stop for an attempt that never came keeps a late start out. */
  private stop({taskId, attempt}: StopOrder): void {
    const id = attemptId(taskId, attempt);
    const row = this.attempts.get(id);
    if (row?.entry.state === 'running') {
      this.end(id, row, 'stopped');
    } else if (row === undefined) {
      this.attempts.set(id, this.neverStarted(taskId, attempt));
    }
  }

  private neverStarted(taskId: string, attempt: number): AttemptRow {
    const size = {
      processors: 0,
      memoryMegabytes: 0,
      accelerators: 0,
      slots: 0,
      connections: 0,
    };
    return {
      entry: {
        kind: 'task',
        taskId,
        attempt,
        state: 'stopped',
        workload: '',
        size,
      },
      revision: ++this.revision,
      endsAt: 0,
      succeeds: false,
      leaseUntil: 0,
    };
  }

  private end(
    id: string,
    row: AttemptRow,
    state: InventoryEntry['state'],
  ): void {
    this.attempts.set(id, {
      ...row,
      entry: {...row.entry, state},
      revision: ++this.revision,
    });
    if (this.attempts.size > ENDED_KEPT) {
      this.dropOldestEnded();
    }
  }

  private dropOldestEnded(): void {
    for (const [id, row] of this.attempts) {
      if (row.entry.state !== 'running') {
        this.attempts.delete(id);
        return;
      }
    }
  }

  private hasRoom(size: StartOrder['size']): boolean {
    const asked = addResources(this.used, toResourceVector(size));
    const fits = isWithin(asked, this.options.capacity);
    return fits || !this.options.refusesOverload;
  }

  private sampleUsage(clock: number): void {
    const cutoff = clock - this.options.usageLagMillis;
    const older = this.samples.filter(sample => sample.at <= cutoff);
    const newest = older[older.length - 1];
    this.samples = [
      ...(newest === undefined ? [] : [newest]),
      ...this.samples.filter(sample => sample.at > cutoff),
      {at: clock, used: this.used},
    ];
  }

  private answer(
    request: ExchangeRequest,
    clock: number,
    refusal: Refusal | undefined,
    refusedOrders: ExchangeAnswer['refusedOrders'],
  ): ExchangeAnswer {
    const {known} = request;
    const isKnown = known?.incarnation === this.options.incarnation;
    const since = isKnown ? (known?.revision ?? 0) : -1;
    const rows = [...this.attempts.values()].filter(
      row => row.revision > since,
    );
    const [sample] = this.samples;
    return {
      worker: this.options.name,
      incarnation: this.options.incarnation,
      clock,
      refusal,
      highestTerm: this.highestTerm,
      leaseRemainingMillis: Math.max(0, (this.lease?.until ?? 0) - clock),
      leaving: this.leaving,
      revision: this.revision,
      inventoryIsWhole: !isKnown,
      inventory:
        refusal === undefined
          ? [
              ...rows.map(row => row.entry),
              ...(isKnown ? [] : this.executing.map(toEntry)),
            ]
          : [],
      refusedOrders,
      usage: {
        processors: (sample?.used[0] ?? 0) / 1000,
        memoryMegabytes: sample?.used[1] ?? 0,
        ageMillis: sample === undefined ? 0 : clock - sample.at,
      },
    };
  }
}

function toEntry(request: ExecuteRequest): InventoryEntry {
  const {requestId, attempt, workload, size} = request;
  return {
    kind: 'request',
    taskId: `request/${requestId}`,
    attempt,
    state: 'running',
    workload,
    size,
  };
}

function attemptId(taskId: string, attempt: number): string {
  return `${taskId} ${attempt}`;
}
