import type {Declaration} from '@samphireramp/model';

const LISTS = ['zones', 'workers', 'teams', 'policies', 'workloads'] as const;

interface Named {
  readonly name: string;
}

/** Names each declared thing that was added, changed or removed. */
export function describeChanges(
  before: Declaration | undefined,
  after: Declaration,
): string[] {
  const changes = LISTS.flatMap(list =>
    describeList(list, before?.[list] ?? [], after[list]),
  );
  if (JSON.stringify(before?.control) !== JSON.stringify(after.control)) {
    changes.push('changed control');
  }
  return changes;
}

function describeList(
  list: string,
  before: readonly Named[],
  after: readonly Named[],
): string[] {
  const old = new Map(before.map(item => [item.name, JSON.stringify(item)]));
  const changes: string[] = [];
  for (const item of after) {
    const previous = old.get(item.name);
    old.delete(item.name);
    if (previous === undefined) {
      changes.push(`added ${list} ${item.name}`);
    } else if (previous !== JSON.stringify(item)) {
      changes.push(`changed ${list} ${item.name}`);
    }
  }
  for (const name of old.keys()) {
    changes.push(`removed ${list} ${name}`);
  }
  return changes;
}
