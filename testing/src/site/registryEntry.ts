import type {WorkerRecord} from '@samphireramp/fleet';

/** An entry of the worker registry, in the format of the platform's store. */
export interface RegistryEntry {
  readonly service: string;
  /** HOST:PORT of the worker. */
  readonly address: string;
  readonly zone: string;
  readonly version: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  readonly capacity: {
    readonly cpu: number;
    readonly memory_request_mb: number;
    readonly gpu: number;
  };
  /** The kind of worker, followed by its rack. */
  readonly labels: readonly string[];
  /** Start of the incarnation, in milliseconds since 1970. */
  readonly born: number;
  readonly sequence: number;
}

/** Builds the entry for a record of a worker; `overrides` replaces fields. */
export function buildRegistryEntry(
  record: WorkerRecord,
  overrides: Partial<RegistryEntry> = {},
): RegistryEntry {
  const {pool, address, zone, capacity, labels, incarnation} = record;
  return {
    service: pool,
    address,
    zone,
    version: 'v1',
    slots: 8,
    state: record.isDraining ? 'draining' : 'ready',
    capacity: {
      cpu: capacity.cpuMillis,
      memory_request_mb: capacity.memoryMegabytes,
      gpu: capacity.accelerators,
    },
    labels,
    born: Number(incarnation.split('@')[1]),
    sequence: 1,
    ...overrides,
  };
}

/** Encodes any content of a registry entry, valid or not. */
export function encodeRegistryEntry(entry: object): Buffer {
  return Buffer.from(JSON.stringify(entry));
}
