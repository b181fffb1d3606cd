import {
  type Plugin,
  type StateReader,
  type Update,
  createCommand,
  createEffect,
  createTableSlice,
  mergeUnregister,
} from '@samphireramp/kernel';
import {
  HOSTS,
  type OwnIdentity,
  PEER_MESSAGE,
  isConfigurationReader,
  sendToPeer,
} from '@samphireramp/membership';
import {
  type AuditEntry,
  type ConfigurationChange,
  type Declaration,
  type LogPage,
  type PeerMessage,
  type Revision,
} from '@samphireramp/model';
import {applyRecord, supersedes} from './applyRecord';

const IN_FORCE_ID = 'in-force';
const AUDIT_ENTRIES_KEPT = 1000;

/** The revision in force on this host: one row or none. */
export const REVISIONS = createTableSlice<Revision>('revisions');

/** The latest verdicts, by change. */
export const AUDIT = createTableSlice<AuditEntry>('audit');

/** A page of the configuration stream was read. */
export const CONFIGURATION_READ = createCommand<{
  readonly page: LogPage;
  readonly from: number;
}>('configuration-read');

/** Time to append the revision in force again, before retention ends. */
export const REPUBLISH_DUE = createCommand<void>('republish-due');

/** A newer revision took force on this host. */
export const REVISION_IN_FORCE = createCommand<Revision>('revision-in-force');

/** A verdict was reached on a change. */
export const AUDITED = createEffect<AuditEntry>('audited');

/** Appends a change to the configuration stream. */
export const APPEND_CONFIGURATION = createEffect<ConfigurationChange>(
  'append-configuration',
);

/** The revision in force on this host. */
export function revisionInForce(state: StateReader): Revision | undefined {
  return state.read(REVISIONS).get(IN_FORCE_ID);
}

/** The declaration in force on this host. */
export function declarationInForce(
  state: StateReader,
): Declaration | undefined {
  return revisionInForce(state)?.declaration;
}

/** What the configuration plug-in is given. */
export interface ConfigurationOptions {
  readonly self: OwnIdentity;
}

/** Orders revisions by offset and spreads them between hosts. */
export function createConfigurationPlugin(
  options: ConfigurationOptions,
): Plugin {
  function takeForce(update: Update, revision: Revision): void {
    if (!supersedes(revision, revisionInForce(update))) {
      return;
    }
    update.write(REVISIONS).set(IN_FORCE_ID, revision);
    update.dispatch(REVISION_IN_FORCE, revision);
  }

  function onRead(
    update: Update,
    {page, from}: {page: LogPage; from: number},
  ): void {
    let current = revisionInForce(update);
    if (hasGap(page, from, current)) {
      current = latestRepublished(page, current);
      if (current === undefined) {
        return;
      }
    }
    for (const record of page.records) {
      const isDecided = record.offset < (current?.revision ?? 0);
      if (isDecided) {
        continue;
      }
      const verdict = applyRecord(current, record);
      current = verdict.revision;
      recordAudit(update, verdict.audit);
    }
    if (current !== undefined) {
      takeForce(update, current);
    }
  }

  function recordAudit(update: Update, entry: AuditEntry): void {
    const audit = update.write(AUDIT);
    audit.set(entry.changeId, entry);
    if (audit.size > AUDIT_ENTRIES_KEPT) {
      const [oldest] = audit.keys();
      audit.delete(oldest);
    }
    update.emit(AUDITED, entry);
  }

  function onPeerMessage(
    update: Update,
    {from, message}: {from: string; message: PeerMessage},
  ): void {
    const current = revisionInForce(update);
    if (message.type === 'revision') {
      takeForce(update, message.revision);
    } else if (message.type === 'revision-wanted' && current !== undefined) {
      sendToPeer(update, from, {type: 'revision', revision: current});
    } else if (message.type === 'heartbeat') {
      askIfNewer(update, from, message.revision);
    }
  }

  function askIfNewer(update: Update, from: string, offered: number): void {
    if (offered > (revisionInForce(update)?.revision ?? 0)) {
      sendToPeer(update, from, {type: 'revision-wanted'});
    }
  }

  function onInForce(update: Update, revision: Revision): void {
    for (const host of update.read(HOSTS).values()) {
      const isBehind = host.revision < revision.revision;
      const isInZone = host.zone === options.self.zone;
      if (host.name !== options.self.name && isBehind && isInZone) {
        sendToPeer(update, host.name, {type: 'revision', revision});
      }
    }
  }

  function onRepublishDue(update: Update): void {
    const current = revisionInForce(update);
    const isReader = isConfigurationReader(update, options.self, update.now);
    if (current === undefined || !isReader) {
      return;
    }
    update.emit(APPEND_CONFIGURATION, {
      changeId: current.changeId,
      author: current.author,
      expectedRevision: current.revision,
      declaration: current.declaration,
      republishes: current.revision,
    });
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(REVISIONS),
      kernel.registerSlice(AUDIT),
      kernel.registerCommand(CONFIGURATION_READ, onRead),
      kernel.registerCommand(REVISION_IN_FORCE, onInForce),
      kernel.registerCommand(REPUBLISH_DUE, onRepublishDue),
      kernel.registerCommand(PEER_MESSAGE, onPeerMessage),
    );
}

/** Whether records that decide later races were lost to retention. */
function hasGap(
  page: LogPage,
  from: number,
  current: Revision | undefined,
): boolean {
  return page.oldest > from || (current === undefined && from > 0);
}

/**
 * The newest revision that a page re-publishes. After a gap it is the only
 * safe start: the races of the records before it can no longer be decided.
 */
function latestRepublished(
  page: LogPage,
  current: Revision | undefined,
): Revision | undefined {
  let latest = current;
  for (const record of page.records) {
    if (isRepublished(record)) {
      latest = applyRecord(latest, record).revision;
    }
  }
  return latest;
}

function isRepublished(record: LogPage['records'][number]): boolean {
  const body = record.body as {republishes?: unknown} | null;
  return typeof body?.republishes === 'number';
}
