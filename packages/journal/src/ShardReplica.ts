import {type ChangeRecorder, type SliceDefinition} from '@samphireramp/kernel';
import {type WorkChange, shardOfChange} from '@samphireramp/model';
import {joinChanges, recordIdOf} from './mergeChange';

/** What this host keeps of the accepted work of shards, its own or others'. */
export interface ReplicaReader {
  readonly shardIds: readonly string[];
  changesOf(shardId: string): WorkChange[];
  countOf(shardId: string): number;
}

/** A replica that can be changed, inside an update. */
export interface ReplicaWriter extends ReplicaReader {
  merge(change: WorkChange): void;
}

/** The slice that holds the merged changes by shard. */
export const REPLICAS: SliceDefinition<ReplicaReader, ReplicaWriter> = {
  name: 'replicas',
  create: recorder => new ReplicaStore(recorder),
};

class ReplicaStore implements ReplicaWriter {
  private readonly shards = new Map<string, Map<string, WorkChange>>();

  constructor(private readonly recorder: ChangeRecorder) {}

  get shardIds(): readonly string[] {
    return [...this.shards.keys()];
  }

  changesOf(shardId: string): WorkChange[] {
    return [...(this.shards.get(shardId)?.values() ?? [])];
  }

  countOf(shardId: string): number {
    return this.shards.get(shardId)?.size ?? 0;
  }

  merge(change: WorkChange): void {
    const records = this.recordsOf(shardOfChange(change));
    if (change.type === 'forget') {
      this.forget(records, change.key);
      return;
    }
    const id = recordIdOf(change);
    const before = records.get(id);
    const after = before === undefined ? change : joinChanges(before, change);
    this.put(records, id, after);
  }

  private forget(records: Map<string, WorkChange>, key: string): void {
    const job = records.get(`job ${key}`);
    const taskCount = job?.type === 'job' ? job.job.tasks : 0;
    this.put(records, `job ${key}`, undefined);
    this.put(records, `request ${key}`, undefined);
    for (let index = 0; index < taskCount; index++) {
      this.put(records, `task ${key}/${index}`, undefined);
    }
  }

  private put(
    records: Map<string, WorkChange>,
    id: string,
    change: WorkChange | undefined,
  ): void {
    const before = records.get(id);
    this.recorder.record(() => setOrDelete(records, id, before));
    setOrDelete(records, id, change);
  }

  private recordsOf(shardId: string): Map<string, WorkChange> {
    const known = this.shards.get(shardId);
    if (known !== undefined) {
      return known;
    }
    const records = new Map<string, WorkChange>();
    this.shards.set(shardId, records);
    return records;
  }
}

function setOrDelete(
  records: Map<string, WorkChange>,
  id: string,
  change: WorkChange | undefined,
): void {
  if (change === undefined) {
    records.delete(id);
  } else {
    records.set(id, change);
  }
}
