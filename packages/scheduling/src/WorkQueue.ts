import {type ChangeRecorder, type SliceDefinition} from '@samphireramp/kernel';

/** Something that waits for room. */
export interface QueuedItem {
  readonly id: string;
  readonly kind: 'task' | 'job' | 'request';
  /** Monotonic milliseconds. */
  readonly queuedAt: number;
}

/** Items that need the same, for the same team: if one fails, so do all. */
export interface Bucket {
  readonly shardId: string;
  readonly workload: string;
  readonly team: string;
  readonly size: number;
  head(): QueuedItem | undefined;
}

/** The queue, in buckets. */
export interface QueueReader {
  readonly size: number;
  countOf(shardId: string): number;
  bucketsOf(shardId: string): Bucket[];
}

/** A queue that can be changed, inside an update. */
export interface QueueWriter extends QueueReader {
  add(shardId: string, workload: string, team: string, item: QueuedItem): void;
  remove(shardId: string, workload: string, team: string, id: string): void;
  clearShard(shardId: string): void;
}

/** The slice that holds the queues of the held shards. */
export const QUEUE: SliceDefinition<QueueReader, QueueWriter> = {
  name: 'queue',
  create: recorder => new BucketQueue(recorder),
};

class FifoBucket implements Bucket {
  private readonly items = new Map<string, QueuedItem>();

  constructor(
    readonly shardId: string,
    readonly workload: string,
    readonly team: string,
  ) {}

  get size(): number {
    return this.items.size;
  }

  head(): QueuedItem | undefined {
    return this.items.values().next().value;
  }

  add(item: QueuedItem): void {
    this.items.set(item.id, item);
  }

  remove(id: string): QueuedItem | undefined {
    const item = this.items.get(id);
    this.items.delete(id);
    return item;
  }

  /** Puts back what was taken, so that the order is as it was. */
  restore(items: readonly QueuedItem[]): void {
    this.items.clear();
    items.forEach(item => this.add(item));
  }

  snapshot(): QueuedItem[] {
    return [...this.items.values()];
  }
}

class BucketQueue implements QueueWriter {
  private readonly shards = new Map<string, Map<string, FifoBucket>>();

  constructor(private readonly recorder: ChangeRecorder) {}

  get size(): number {
    return [...this.shards.keys()]
      .map(shardId => this.countOf(shardId))
      .reduce((sum, count) => sum + count, 0);
  }

  countOf(shardId: string): number {
    let count = 0;
    for (const bucket of this.shards.get(shardId)?.values() ?? []) {
      count += bucket.size;
    }
    return count;
  }

  bucketsOf(shardId: string): Bucket[] {
    const buckets = this.shards.get(shardId)?.values() ?? [];
    return [...buckets].filter(bucket => bucket.size > 0);
  }

  add(shardId: string, workload: string, team: string, item: QueuedItem): void {
    const bucket = this.bucketOf(shardId, workload, team);
    this.recorder.record(() => bucket.remove(item.id));
    bucket.add(item);
  }

  remove(shardId: string, workload: string, team: string, id: string): void {
    const bucket = this.bucketOf(shardId, workload, team);
    const isHead = bucket.head()?.id === id;
    const item = bucket.remove(id);
    if (item === undefined) {
      return;
    }
    this.recorder.record(() => {
      const rest = bucket.snapshot();
      bucket.restore(isHead ? [item, ...rest] : [...rest, item]);
    });
  }

  clearShard(shardId: string): void {
    const buckets = this.shards.get(shardId);
    if (buckets !== undefined) {
      this.recorder.record(() => this.shards.set(shardId, buckets));
      this.shards.delete(shardId);
    }
  }

  private bucketOf(
    shardId: string,
    workload: string,
    team: string,
  ): FifoBucket {
    const buckets = this.shards.get(shardId) ?? new Map<string, FifoBucket>();
    this.shards.set(shardId, buckets);
    const id = `${workload} ${team}`;
    const bucket = buckets.get(id) ?? new FifoBucket(shardId, workload, team);
    buckets.set(id, bucket);
    return bucket;
  }
}
