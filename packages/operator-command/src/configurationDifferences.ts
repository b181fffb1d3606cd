import type {ClientAccount, SiteConfiguration} from '@samphireramp/jobs';
import type {
  ConfigurationFinding,
  ConfigurationPath,
} from './ConfigurationFinding';

/** The value of a field that has no fields itself, and where it is. */
interface Leaf {
  readonly path: ConfigurationPath;
  readonly value: unknown;
}

/**
 * Lists the differences of a configuration from an earlier one. Queues, pools and
 * accounts are compared by name; their order doesn't matter. Of API keys only the
 * number of added and removed ones is told.
 */
export function compareConfigurations(
  before: SiteConfiguration,
  after: SiteConfiguration,
): ConfigurationFinding[] {
  const {revision, maxBodyBytes} = after;
  return [
    ...findOlderRevision(before, after),
    ...compareLeaves(
      {revision: before.revision, maxBodyBytes: before.maxBodyBytes},
      {revision, maxBodyBytes},
      [],
    ),
    ...compareLists(
      'routes',
      'queue',
      before.routes,
      after.routes,
      ({policy}) => policy.name,
      compareLeaves,
    ),
    ...compareLists(
      'pools',
      'pool',
      before.pools,
      after.pools,
      ({name}) => name,
      compareLeaves,
    ),
    ...compareLists(
      'clientAccounts',
      'account',
      before.clientAccounts,
      after.clientAccounts,
      ({name}) => name,
      compareAccounts,
    ),
  ];
}

function findOlderRevision(
  before: SiteConfiguration,
  after: SiteConfiguration,
): ConfigurationFinding[] {
  return after.revision >= before.revision
    ? []
    : [
        {
          severity: 'warning',
          kind: 'difference',
          path: ['revision'],
          reason: `hosts that have revision ${before.revision} keep it, as ${after.revision} is older`,
        },
      ];
}

/** Compares two lists by the names of their entries. */
function compareLists<Entry extends object>(
  list: string,
  noun: string,
  before: readonly Entry[],
  after: readonly Entry[],
  nameOf: (entry: Entry) => string,
  compare: (
    before: Entry,
    after: Entry,
    path: ConfigurationPath,
  ) => ConfigurationFinding[],
): ConfigurationFinding[] {
  const beforeByName = indexByName(before, nameOf);
  const afterByName = indexByName(after, nameOf);
  const findings: ConfigurationFinding[] = [];
  for (const [key, {entry, index}] of afterByName) {
    const path = [list, index];
    const earlier = beforeByName.get(key);
    findings.push(
      ...(earlier === undefined
        ? [difference(path, `${noun} ${JSON.stringify(nameOf(entry))} added`)]
        : compare(earlier.entry, entry, path)),
    );
  }
  for (const [key, {entry}] of beforeByName) {
    if (!afterByName.has(key)) {
      const name = JSON.stringify(nameOf(entry));
      findings.push(difference([list], `${noun} ${name} removed`));
    }
  }
  return findings;
}

/** Entries by name and, if several have one name, by their order among these. */
function indexByName<Entry>(
  entries: readonly Entry[],
  nameOf: (entry: Entry) => string,
): Map<string, {entry: Entry; index: number}> {
  const countByName = new Map<string, number>();
  return new Map(
    entries.map((entry, index) => {
      const name = nameOf(entry);
      const count = countByName.get(name) ?? 0;
      countByName.set(name, count + 1);
      return [JSON.stringify([name, count]), {entry, index}];
    }),
  );
}

/** Compares accounts without telling keys or their digests. */
function compareAccounts(
  {keyDigests: digestsBefore, ...before}: ClientAccount,
  {keyDigests: digestsAfter, ...after}: ClientAccount,
  path: ConfigurationPath,
): ConfigurationFinding[] {
  const keysBefore = new Set(digestsBefore);
  const keysAfter = new Set(digestsAfter);
  const added = [...keysAfter].filter(key => !keysBefore.has(key)).length;
  const removed = [...keysBefore].filter(key => !keysAfter.has(key)).length;
  const reason = `${added} API keys added, ${removed} removed`;
  return [
    ...compareLeaves(before, after, path),
    ...(added + removed > 0
      ? [difference([...path, 'keyDigests'], reason)]
      : []),
  ];
}

/** Compares the fields of two values, and the fields of these. */
function compareLeaves(
  before: object,
  after: object,
  path: ConfigurationPath,
): ConfigurationFinding[] {
  const leavesBefore = indexLeaves(before, path);
  const leavesAfter = indexLeaves(after, path);
  const keys = new Set([...leavesBefore.keys(), ...leavesAfter.keys()]);
  return [...keys].flatMap(key => {
    const leafBefore = leavesBefore.get(key);
    const leafAfter = leavesAfter.get(key);
    const leaf = leafAfter ?? leafBefore;
    return leaf === undefined || leafBefore?.value === leafAfter?.value
      ? []
      : [
          difference(
            leaf.path,
            `${formatValue(leafBefore?.value)} before, ${formatValue(leafAfter?.value)} now`,
          ),
        ];
  });
}

function indexLeaves(
  value: object,
  path: ConfigurationPath,
): Map<string, Leaf> {
  const leaves = new Map<string, Leaf>();
  for (const [name, field] of Object.entries(value)) {
    const fieldPath = [...path, name];
    if (typeof field === 'object' && field !== null) {
      for (const [key, leaf] of indexLeaves(field, fieldPath)) {
        leaves.set(key, leaf);
      }
    } else {
      // Entries are compared by name: their index may differ, so it isn't in the key.
      const key = fieldPath.filter(part => typeof part === 'string').join('.');
      leaves.set(key, {path: fieldPath, value: field});
    }
  }
  return leaves;
}

function formatValue(value: unknown): string {
  return value === undefined ? 'absent' : JSON.stringify(value);
}

function difference(
  path: ConfigurationPath,
  reason: string,
): ConfigurationFinding {
  return {severity: 'difference', kind: 'difference', path, reason};
}
