import {Err, Ok, type Result} from 'ts-results-es';
import type * as core from 'zod/v4/core';
import {type Declaration, declarationSchema} from './Declaration';
import {describeIssue} from './describeIssue';

/** One fault of a declaration, and where it stands. */
export interface DeclarationFault {
  /** Keys and indexes from the root of the declaration. */
  readonly path: ReadonlyArray<string | number>;
  readonly message: string;
}

/** Checks a value against the schema and the references inside it. */
export function checkDeclaration(
  value: unknown,
): Result<Declaration, DeclarationFault[]> {
  const parsed = declarationSchema.safeParse(value);
  if (!parsed.success) {
    return Err(parsed.error.issues.map(issue => toFault(issue, value)));
  }
  const faults = [
    ...findDuplicates(parsed.data),
    ...findUnknownReferences(parsed.data),
    ...findImpossibleValues(parsed.data),
  ];
  return faults.length > 0 ? Err(faults) : Ok(parsed.data);
}

function toFault(issue: core.$ZodIssue, root: unknown): DeclarationFault {
  const path = issue.path.map(part =>
    typeof part === 'symbol' ? String(part) : part,
  );
  return {path, message: describeIssue(issue, root)};
}

function findDuplicates(declaration: Declaration): DeclarationFault[] {
  const lists = ['zones', 'workers', 'teams', 'policies', 'workloads'] as const;
  return lists.flatMap(list => duplicatesIn(list, declaration[list]));
}

function duplicatesIn(
  list: string,
  items: ReadonlyArray<{readonly name: string}>,
): DeclarationFault[] {
  const seen = new Set<string>();
  const faults: DeclarationFault[] = [];
  items.forEach(({name}, index) => {
    if (seen.has(name)) {
      const message = `is "${name}", which is declared twice`;
      faults.push({path: [list, index, 'name'], message});
    }
    seen.add(name);
  });
  return faults;
}

function findUnknownReferences(declaration: Declaration): DeclarationFault[] {
  const zones = namesOf(declaration.zones);
  const teams = namesOf(declaration.teams);
  const policies = namesOf(declaration.policies);
  return [
    ...declaration.workers.flatMap((worker, index) =>
      unknownName(['workers', index, 'zone'], worker.zone, zones, 'zone'),
    ),
    ...declaration.workloads.flatMap((workload, index) => [
      ...unknownName(
        ['workloads', index, 'policy'],
        workload.policy,
        policies,
        'policy',
      ),
      ...workload.teams.flatMap((team, position) =>
        unknownName(
          ['workloads', index, 'teams', position],
          team,
          teams,
          'team',
        ),
      ),
    ]),
  ];
}

function namesOf(items: ReadonlyArray<{readonly name: string}>): Set<string> {
  return new Set(items.map(item => item.name));
}

function unknownName(
  path: ReadonlyArray<string | number>,
  name: string,
  known: ReadonlySet<string>,
  what: string,
): DeclarationFault[] {
  if (known.has(name)) {
    return [];
  }
  const message = `is "${name}"; expected a declared ${what} (${[...known].join(', ')})`;
  return [{path, message}];
}

function findImpossibleValues(declaration: Declaration): DeclarationFault[] {
  const {control} = declaration;
  const faults: DeclarationFault[] = [];
  if (control.renewMillis * 2 > control.leaseMillis) {
    const message = `is ${control.renewMillis}; expected at most half of leaseMillis (${control.leaseMillis})`;
    faults.push({path: ['control', 'renewMillis'], message});
  }
  if (control.taskLeaseMillis < control.leaseMillis * 2) {
    const message = `is ${control.taskLeaseMillis}; expected at least twice leaseMillis (${control.leaseMillis})`;
    faults.push({path: ['control', 'taskLeaseMillis'], message});
  }
  declaration.workloads.forEach(({idempotent, durability}, index) => {
    if (!idempotent && durability === 'memory') {
      const message =
        'is "memory"; expected two-hosts or store for work that is not idempotent';
      faults.push({path: ['workloads', index, 'durability'], message});
    }
  });
  return faults;
}
