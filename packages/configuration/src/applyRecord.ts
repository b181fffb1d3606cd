import {
  type AuditEntry,
  type LogRecord,
  type Revision,
  checkDeclaration,
  configurationChangeSchema,
} from '@samphireramp/model';
import {describeChanges} from './describeChanges';

/** Who is named for a record that could not be read. */
const NO_AUTHOR = '';

/** What one record of the configuration stream came to. */
export interface RecordVerdict {
  /** The revision in force after the record. */
  readonly revision: Revision | undefined;
  readonly audit: AuditEntry;
}

/**
 * Decides on one record, by its offset alone: a change takes force only if it
 * expected the revision that is in force, so every reader decides the same.
 */
export function applyRecord(
  current: Revision | undefined,
  record: LogRecord,
): RecordVerdict {
  const parsed = configurationChangeSchema.safeParse(record.body);
  if (!parsed.success || checkDeclaration(parsed.data.declaration).isErr()) {
    return unreadable(current, record);
  }
  const change = parsed.data;
  const inForce = current?.revision ?? 0;
  const revision = change.republishes ?? record.offset + 1;
  const accepted =
    change.republishes === undefined
      ? change.expectedRevision === inForce && revision > inForce
      : revision > inForce;
  const next: Revision = {
    revision,
    changeId: change.changeId,
    author: change.author,
    declaration: change.declaration,
  };
  return {
    revision: accepted ? next : current,
    audit: {
      changeId: change.changeId,
      author: change.author,
      appendedAt: record.appendedAt,
      fromRevision: change.expectedRevision,
      toRevision: revision,
      outcome: accepted ? 'accepted' : 'lost-race',
      inForce: accepted ? revision : inForce,
      changed: accepted
        ? describeChanges(current?.declaration, change.declaration)
        : [],
    },
  };
}

/** Whether `offered` may take the place of `current`: only a newer one may. */
export function supersedes(
  offered: Revision,
  current: Revision | undefined,
): boolean {
  return current === undefined || offered.revision > current.revision;
}

function unreadable(
  current: Revision | undefined,
  record: LogRecord,
): RecordVerdict {
  const inForce = current?.revision ?? 0;
  return {
    revision: current,
    audit: {
      changeId: `offset-${record.offset}`,
      author: NO_AUTHOR,
      appendedAt: record.appendedAt,
      fromRevision: inForce,
      toRevision: record.offset + 1,
      outcome: 'unreadable',
      inForce,
      changed: [],
    },
  };
}
