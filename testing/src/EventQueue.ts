/** A callback scheduled for a virtual time. */
interface ScheduledEvent {
  readonly at: number;
  /** Position in the order of scheduling, which decides between equal times. */
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock with timers, in virtual or real time. */
export interface Timeline {
  /** Current time in milliseconds; its origin is arbitrary. */
  readonly now: number;
  /** Schedules a callback to run once, after a delay. */
  after(delayMillis: number, callback: () => void): void;
}

/** Virtual time: runs scheduled callbacks in order, without real waiting. */
export class EventQueue implements Timeline {
  now = 0;
  /** Binary heap with the earliest event at index 0. */
  private readonly heap: ScheduledEvent[] = [];
  private scheduledCount = 0;

  after(delayMillis: number, callback: () => void): void {
    this.push({
      at: this.now + delayMillis,
      sequence: this.scheduledCount++,
      callback,
    });
  }

  /**
   * Runs all callbacks due by `end`, each followed by `afterEach`, and advances
   * the time to `end`.
   */
  runUntil(end: number, afterEach: () => void): void {
    for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
      this.pop();
      this.now = next.at;
      next.callback();
      afterEach();
    }
    this.now = end;
  }

  /** Adds an event to the heap. */
  private push(event: ScheduledEvent): void {
    this.heap.push(event);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(this.heap[index], this.heap[parent])) {
        return;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  /** Removes the earliest event from the heap. */
  private pop(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) {
      return;
    }
    this.heap[0] = last;
    let index = 0;
    for (;;) {
      const earliest = this.earliestAround(index);
      if (earliest === index) {
        return;
      }
      this.swap(index, earliest);
      index = earliest;
    }
  }

  /** Returns the index of the earliest event among a node and its children. */
  private earliestAround(index: number): number {
    let earliest = index;
    for (const child of [index * 2 + 1, index * 2 + 2]) {
      const isInHeap = child < this.heap.length;
      if (isInHeap && isBefore(this.heap[child], this.heap[earliest])) {
        earliest = child;
      }
    }
    return earliest;
  }

  private swap(first: number, second: number): void {
    [this.heap[first], this.heap[second]] = [
      this.heap[second],
      this.heap[first],
    ];
  }
}

function isBefore(first: ScheduledEvent, second: ScheduledEvent): boolean {
  return (
    first.at < second.at ||
    (first.at === second.at && first.sequence < second.sequence)
  );
}
