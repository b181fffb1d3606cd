import {type Declaration, declarationSchema} from '@samphireramp/model';

/** What a test may want to be different about a declaration. */
export interface DeclarationOptions {
  readonly zones?: readonly string[];
  readonly workersInZone?: number;
  readonly racksInZone?: number;
  readonly addressOf?: (zone: string, index: number) => string;
  readonly capacity?: Declaration['workers'][number]['capacity'];
  readonly workloads?: ReadonlyArray<Record<string, unknown>>;
  readonly teams?: ReadonlyArray<Record<string, unknown>>;
  readonly control?: Record<string, unknown>;
  readonly workersInShard?: number;
}

const CAPACITY = {
  processors: 16,
  memoryMegabytes: 32_768,
  accelerators: 0,
  slots: 8,
  connections: 60,
};

const WORKLOADS = [
  {
    name: 'slot-check',
    kind: 'service',
    teams: ['shop'],
    policy: 'standard',
    size: {processors: 0.5, memoryMegabytes: 256},
    urgent: true,
    idempotent: true,
    durability: 'memory',
    deadlineMillis: 4500,
    expectedRunMillis: 50,
  },
  {
    name: 'slot-booking',
    kind: 'service',
    teams: ['shop'],
    policy: 'standard',
    size: {processors: 0.5, memoryMegabytes: 256},
    urgent: true,
    deadlineMillis: 4500,
    expectedRunMillis: 50,
  },
  {
    name: 'reconciliation',
    kind: 'batch',
    teams: ['shop', 'stock'],
    policy: 'standard',
    size: {processors: 1, memoryMegabytes: 1024},
    idempotent: true,
    deadlineMillis: 3_600_000,
    expectedRunMillis: 500,
  },
  {
    name: 'route-plan',
    kind: 'all-at-once',
    teams: ['stock'],
    policy: 'standard',
    size: {processors: 4, memoryMegabytes: 4096},
    idempotent: true,
    deadlineMillis: 28_800_000,
    expectedRunMillis: 120_000,
  },
];

const TEAMS = [
  {name: 'shop', share: 2, members: [{name: 'till'}, {name: 'desk'}]},
  {name: 'stock', share: 1, members: [{name: 'planner'}]},
];

/** Builds a checked declaration. */
export function buildDeclaration(
  options: DeclarationOptions = {},
): Declaration {
  return declarationSchema.parse(buildDeclarationValue(options));
}

/** Builds a declaration as a file would hold it. */
export function buildDeclarationValue(
  options: DeclarationOptions = {},
): Record<string, unknown> {
  const zones = options.zones ?? ['tema'];
  const addressOf =
    options.addressOf ?? ((_, index) => `127.0.0.1:${20_000 + index}`);
  const racks = options.racksInZone ?? 2;
  const count = options.workersInZone ?? 3;
  return {
    version: 1,
    site: 'site',
    zones: zones.map(name => ({name, region: `region-${name}`})),
    workers: zones.flatMap(zone =>
      Array.from({length: count}, (_, index) => ({
        name: workerName(zone, index),
        zone,
        rack: `${zone}-rack-${index % racks}`,
        address: addressOf(zone, index),
        capacity: options.capacity ?? CAPACITY,
      })),
    ),
    teams: options.teams ?? TEAMS,
    policies: [{name: 'standard'}],
    workloads: options.workloads ?? WORKLOADS,
    control: {
      workersInShard: options.workersInShard ?? 50,
      ...options.control,
    },
  };
}

/** The name of a worker of a zone. */
export function workerName(zone: string, index: number): string {
  return `${zone}-w${index}`;
}
