import {applyRecord} from '@samphireramp/configuration';
import {
  type AuditEntry,
  CONFIGURATION_STREAM,
  type ConfigurationChange,
  type Revision,
} from '@samphireramp/model';
import {type LogClient} from '@samphireramp/platform-client';
import {CommandError, EXIT} from './CommandError';

/** What the configuration stream came to. */
export interface ConfigurationHistory {
  readonly current: Revision | undefined;
  readonly entries: readonly AuditEntry[];
}

const APPEND_TRIES = 5;
const RETRY_MILLIS = 300;

/** Reads the whole configuration stream that is kept. */
export async function readHistory(
  log: LogClient,
): Promise<ConfigurationHistory> {
  let current: Revision | undefined;
  const entries: AuditEntry[] = [];
  let from = 0;
  for (;;) {
    const page = await log.read(CONFIGURATION_STREAM, from, 0);
    if (page.isErr()) {
      throw logUnreachable(page.error.message);
    }
    if (page.value.records.length === 0) {
      return {current, entries};
    }
    for (const record of page.value.records) {
      const verdict = applyRecord(current, record);
      current = verdict.revision;
      entries.push(verdict.audit);
    }
    from = page.value.next;
  }
}

/** Appends a change, and finds out what became of it. */
export async function publish(
  log: LogClient,
  change: ConfigurationChange,
): Promise<AuditEntry> {
  for (let tries = 0; tries < APPEND_TRIES; tries++) {
    await log.append(CONFIGURATION_STREAM, change);
    // The answer may be lost though the append took effect, so it is read.
    const verdict = await findVerdict(log, change.changeId);
    if (verdict !== undefined) {
      return verdict;
    }
    await new Promise(resolve => {
      setTimeout(resolve, RETRY_MILLIS);
    });
  }
  throw logUnreachable('the change was not found in the log');
}

async function findVerdict(
  log: LogClient,
  changeId: string,
): Promise<AuditEntry | undefined> {
  try {
    const {entries} = await readHistory(log);
    return entries.find(entry => entry.changeId === changeId);
  } catch {
    return undefined;
  }
}

function logUnreachable(detail: string): CommandError {
  const message = `the log can't be reached (${detail}); check --log-url, or try again when the platform is up`;
  return new CommandError(message, EXIT.failed);
}
