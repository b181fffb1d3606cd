import {
  type PayloadOf,
  type StateReader,
  type Update,
  createTableSlice,
  createValueSlice,
} from '@samphireramp/kernel';
import {
  DURABLE_PROGRESS,
  HEARTBEAT_INTERVAL_MILLIS,
  HOLDING,
  type HolderRecord,
  heldTerm,
  requestsAge,
} from '@samphireramp/holding';
import {liveHosts} from '@samphireramp/hosts';
import type {Progress} from '@samphireramp/jobs';
import {applyStateEntry} from './applyStates';
import {chooseStandbys} from './chooseStandbys';
import {JOB_STATES, type KnownJob, STANDBYS, STATES_COPY} from './JobStates';
import {
  APPEND_STATES,
  READ_STATES_NOW,
  STANDBY_EVENT,
  STATES_APPEND_ENDED,
  type StateEntry,
} from './messages';

/** Shortest time between two appends, so that each carries several changes. */
const MIN_APPEND_INTERVAL_MILLIS = 30;
/** Maximum number of jobs in one append, which bounds its size. */
const MAX_JOBS_PER_APPEND = 2000;
/** Timeout of an append; a later one fails if this one has taken effect. */
const APPEND_TIMEOUT_MILLIS = 1000;
/** Delay before the next append after one that failed. */
const FAILED_APPEND_DELAY_MILLIS = 40;

/** Ids of the jobs whose published state may differ from their durable one. */
export const CHANGED_JOBS = createTableSlice<true>('changed-jobs');

/** An append that has no outcome yet. */
interface OpenAppend {
  readonly number: number;
  readonly entries: readonly StateEntry[];
  readonly sentAt: number;
  /** Once it is durable, all jobs requested before this time are published. */
  readonly jobsUntil: number;
}

/** The appends of this host to the stream of job states. */
interface Publication {
  /** At most one append is open at a time. */
  readonly openAppend: OpenAppend | undefined;
  /** Number of appends so far. */
  readonly appends: number;
  /** Earliest time of the next append. */
  readonly nextAppendAt: number;
}

/** What this host has appended to the stream of job states. */
export const PUBLICATION = createValueSlice<Publication>('publication', {
  openAppend: undefined,
  appends: 0,
  nextAppendAt: 0,
});

/** Marks a job for publication if what is published of it is not what is durable. */
export function markIfChanged(update: Update, jobId: string): void {
  const progress = update.read(DURABLE_PROGRESS).get(jobId);
  const published = update.read(JOB_STATES).get(jobId);
  if (isPublicationDue(progress, published)) {
    update.write(CHANGED_JOBS).set(jobId, true);
  }
}

function isPublicationDue(
  progress: Progress | undefined,
  published: KnownJob | undefined,
): boolean {
  return (
    progress?.state !== published?.state ||
    progress?.account !== published?.account
  );
}

/** Marks every job whose published state is not its durable one. */
export function markAllChanged(update: Update): void {
  const jobIds = [
    ...update.read(DURABLE_PROGRESS).keys(),
    ...update.read(JOB_STATES).keys(),
  ];
  jobIds.forEach(jobId => markIfChanged(update, jobId));
}

/** Forgets the appends of a holding that has ended or begins. */
export function resetPublication(update: Update): void {
  const publication = update.write(PUBLICATION);
  publication.set({...publication.get(), openAppend: undefined});
  update.write(CHANGED_JOBS).clear();
}

/**
 * Publishes the changed states, or only a holder record as a heartbeat, if an
 * append is due and this host knows where the stream ends.
 */
export function publishIfDue(
  update: Update,
  self: string,
  incarnation: string,
): void {
  const term = heldTerm(update);
  const copy = update.read(STATES_COPY).get();
  const publication = update.write(PUBLICATION);
  const {openAppend, appends, nextAppendAt} = publication.get();
  const isBehind = !copy.isCaughtUp || copy.endOffset < copy.logEndOffset;
  if (
    term === undefined ||
    openAppend !== undefined ||
    isBehind ||
    update.now < nextAppendAt
  ) {
    return;
  }
  const changes = [...takeChangedEntries(update), ...newStandbys(update)];
  const lastAppendAt = nextAppendAt - MIN_APPEND_INTERVAL_MILLIS;
  const isHeartbeatDue = update.now - lastAppendAt >= HEARTBEAT_INTERVAL_MILLIS;
  if (changes.length === 0 && !isHeartbeatDue) {
    return;
  }
  const jobsUntil = publishedJobsUntil(update);
  const record: HolderRecord = {
    holder: self,
    incarnation,
    term,
    batch: nextBatchNumber(copy.latestHolderRecord, incarnation, term),
    isResigned: false,
    requestsAgeMillis: requestsAge(jobsUntil, copy.holderHeardAt),
  };
  const entries: StateEntry[] = [{kind: 'holder', record}, ...changes];
  const number = appends + 1;
  publication.set({
    openAppend: {number, entries, sentAt: update.now, jobsUntil},
    appends: number,
    nextAppendAt: update.now + MIN_APPEND_INTERVAL_MILLIS,
  });
  update.emit(APPEND_STATES, {
    append: number,
    expectedEnd: copy.endOffset,
    entries,
    timeoutMillis: APPEND_TIMEOUT_MILLIS,
  });
}

/**
 * Time before which all requested jobs are published with the next append;
 * -Infinity if it leaves some of them to the one after it.
 */
function publishedJobsUntil(state: StateReader): number {
  return state.read(CHANGED_JOBS).size === 0
    ? state.read(HOLDING).get().jobsCompleteUntil
    : -Infinity;
}

/** Applies an append that is durable; otherwise its jobs are published again. */
export function onStatesAppendEnded(
  update: Update,
  {append, outcome}: PayloadOf<typeof STATES_APPEND_ENDED>,
): void {
  const publication = update.write(PUBLICATION);
  const {openAppend} = publication.get();
  if (openAppend?.number !== append) {
    return;
  }
  if (outcome.kind === 'appended') {
    publication.set({...publication.get(), openAppend: undefined});
    applyOwnAppend(update, openAppend, outcome.endOffset);
    return;
  }
  publication.set({
    ...publication.get(),
    openAppend: undefined,
    nextAppendAt: update.now + FAILED_APPEND_DELAY_MILLIS,
  });
  for (const entry of openAppend.entries) {
    if (entry.kind === 'state' || entry.kind === 'forgotten') {
      update.write(CHANGED_JOBS).set(entry.jobId, true);
    }
  }
  if (outcome.kind === 'conflict') {
    // The stream has records that this host has not read: its own, from an
    // append without an answer, or those of another holder.
    const copy = update.write(STATES_COPY);
    const current = copy.get();
    copy.set({
      ...current,
      logEndOffset: Math.max(current.logEndOffset, outcome.endOffset),
    });
    update.emit(READ_STATES_NOW, undefined);
  }
}

function applyOwnAppend(
  update: Update,
  {entries, sentAt, jobsUntil}: OpenAppend,
  endOffset: number,
): void {
  const copy = update.write(STATES_COPY);
  const current = copy.get();
  let {latestHolderRecord} = current;
  for (const entry of entries) {
    applyStateEntry(update, entry);
    if (entry.kind === 'holder') {
      latestHolderRecord = entry.record;
    }
  }
  copy.set({
    ...current,
    latestHolderRecord,
    // What the next holder's records tell counts from a read.
    jobKnowledge: {...current.jobKnowledge, appendedAfter: -Infinity},
    endOffset: Math.max(current.endOffset, endOffset),
    logEndOffset: Math.max(current.logEndOffset, endOffset),
    completeUntil: Math.max(current.completeUntil, sentAt),
    jobsCompleteUntil: Math.max(current.jobsCompleteUntil, jobsUntil),
    holderHeardAt: update.now,
    readAt: update.now,
  });
}

/** Takes changed jobs, up to a limit, and returns what to publish of them. */
function takeChangedEntries(update: Update): StateEntry[] {
  const changedJobs = update.write(CHANGED_JOBS);
  const entries: StateEntry[] = [];
  for (const jobId of [...changedJobs.keys()].slice(0, MAX_JOBS_PER_APPEND)) {
    changedJobs.delete(jobId);
    const progress = update.read(DURABLE_PROGRESS).get(jobId);
    const published = update.read(JOB_STATES).get(jobId);
    if (progress === undefined && published !== undefined) {
      entries.push({kind: 'forgotten', jobId});
    } else if (
      progress !== undefined &&
      isPublicationDue(progress, published)
    ) {
      const {queue, account, state} = progress;
      entries.push({kind: 'state', jobId, queue, account, state});
    }
  }
  return entries;
}

/** Returns an entry that names the standbys, if they change. */
function newStandbys(update: Update): StateEntry[] {
  const current = update.read(STANDBYS).get();
  const hosts = chooseStandbys(liveHosts(update, update.now), current ?? []);
  const isSame = hosts.join(',') === current?.join(',');
  if (hosts.length === 0 || isSame) {
    return [];
  }
  const detail = hosts.join(',');
  update.emit(STANDBY_EVENT, {event: 'standbys-named', detail});
  return [{kind: 'standbys', hosts}];
}

/** Batches count from 0 in each holding. */
function nextBatchNumber(
  latest: HolderRecord | undefined,
  incarnation: string,
  term: number,
): number {
  const isOwn = latest?.incarnation === incarnation && latest.term === term;
  return isOwn ? latest.batch + 1 : 0;
}
