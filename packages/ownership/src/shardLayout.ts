import type {Declaration, WorkerDeclaration} from '@samphireramp/model';

/** A shard as the declaration lays it out. */
export interface ShardLayout {
  readonly shardId: string;
  readonly zone: string;
  readonly workers: readonly WorkerDeclaration[];
}

/** Between the zone and the number in a shard's identifier. */
const NUMBER_SEPARATOR = '/';

/** Splits the workers of a zone into shards, each spread over the racks. */
export function layOutShards(
  declaration: Declaration,
  zone: string,
): ShardLayout[] {
  const workers = interleaveRacks(
    declaration.workers.filter(worker => worker.zone === zone),
  );
  const count = shardCount(declaration, zone);
  const layouts: ShardLayout[] = [];
  for (let number = 0; number < count; number++) {
    layouts.push({
      shardId: shardIdOf(zone, number),
      zone,
      workers: workers.filter((_, position) => position % count === number),
    });
  }
  return layouts;
}

/** How many shards a zone has. */
export function shardCount(declaration: Declaration, zone: string): number {
  const workers = declaration.workers.filter(worker => worker.zone === zone);
  return Math.ceil(workers.length / declaration.control.workersInShard);
}

/** The identifier of a shard by its zone and number. */
export function shardIdOf(zone: string, number: number): string {
  return `${zone}${NUMBER_SEPARATOR}${number}`;
}

/** The zone of a shard. */
export function zoneOfShard(shardId: string): string {
  return shardId.slice(0, shardId.lastIndexOf(NUMBER_SEPARATOR));
}

/** Takes one worker of each rack in turn, so that shards span racks. */
function interleaveRacks(
  workers: readonly WorkerDeclaration[],
): WorkerDeclaration[] {
  const racks = new Map<string, WorkerDeclaration[]>();
  for (const worker of workers) {
    const rack = racks.get(worker.rack) ?? [];
    rack.push(worker);
    racks.set(worker.rack, rack);
  }
  const columns = [...racks.values()];
  const height = Math.max(0, ...columns.map(column => column.length));
  const ordered: WorkerDeclaration[] = [];
  for (let row = 0; row < height; row++) {
    for (const column of columns) {
      if (row < column.length) {
        ordered.push(column[row]);
      }
    }
  }
  return ordered;
}
