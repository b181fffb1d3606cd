/** Something that happens at a virtual time. */
interface QueuedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Time as the models know it, virtual or real, in milliseconds. */
export interface Timeline {
  readonly now: number;
  /** Plans `run` after a delay. */
  after(delay: number, run: () => void): void;
}

/** Virtual time: runs what is planned, in order, without waiting. */
export class EventQueue implements Timeline {
  now = 0;
  private readonly heap: QueuedEvent[] = [];
  private planned = 0;

  /** Plans `run` after a delay in milliseconds. */
  after(delay: number, run: () => void): void {
    this.push({at: this.now + delay, order: this.planned++, run});
  }

  /** Runs all that is planned up to a virtual time. */
  runUntil(end: number, afterEach: () => void): void {
    for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
      this.pop();
      this.now = next.at;
      next.run();
      afterEach();
    }
    this.now = end;
  }

  private push(event: QueuedEvent): void {
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

  private pop(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) {
      return;
    }
    this.heap[0] = last;
    let index = 0;
    for (;;) {
      const smallest = this.smallestOf(index);
      if (smallest === index) {
        return;
      }
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private smallestOf(index: number): number {
    let smallest = index;
    for (const child of [index * 2 + 1, index * 2 + 2]) {
      const isInside = child < this.heap.length;
      if (isInside && isBefore(this.heap[child], this.heap[smallest])) {
        smallest = child;
      }
    }
    return smallest;
  }

  private swap(first: number, second: number): void {
    [this.heap[first], this.heap[second]] = [
      this.heap[second],
      this.heap[first],
    ];
  }
}

function isBefore(first: QueuedEvent, second: QueuedEvent): boolean {
  return (
    first.at < second.at ||
    (first.at === second.at && first.order < second.order)
  );
}
