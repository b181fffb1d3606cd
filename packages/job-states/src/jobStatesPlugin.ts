import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {
  HOLDING_BEGAN,
  HOLDING_ENDED,
  HOLDING_TICK,
  PROGRESS_DURABLE,
  heldTerm,
} from '@samphireramp/holding';
import {applyStatesRead} from './applyStates';
import {JOB_STATES, STANDBYS, STATES_COPY} from './JobStates';
import {
  IS_JOURNAL_FOLLOWED,
  type JournalFollowingOptions,
  adjustJournalFollowing,
} from './journalFollowing';
import {
  READ_STATES_NOW,
  STATES_APPEND_ENDED,
  STATES_READ,
  type StatesRead,
} from './messages';
import {
  CHANGED_JOBS,
  PUBLICATION,
  markAllChanged,
  markIfChanged,
  onStatesAppendEnded,
  publishIfDue,
  resetPublication,
} from './publishing';

/** Options of the job states plug-in. */
export interface JobStatesOptions extends JournalFollowingOptions {
  /** Distinguishes this process of the host from its earlier ones. */
  readonly incarnation: string;
}

/**
 * Publishes the states of jobs while this host holds the site, and keeps the copy
 * of them at every host from which callers are answered. Only hosts that may take
 * over soon follow the journal itself, which is many times as large.
 */
export function createJobStatesPlugin(options: JobStatesOptions): Plugin {
  const {self, incarnation} = options;
  const publish = (update: Update) => publishIfDue(update, self, incarnation);

  function onRead(update: Update, read: StatesRead): void {
    applyStatesRead(update, read);
    if (heldTerm(update) !== undefined) {
      // A late append of an earlier holder may have published older states.
      if (read.isSnapshot) {
        markAllChanged(update);
      }
      for (const {entry} of read.entries) {
        if (entry.kind === 'state' || entry.kind === 'forgotten') {
          markIfChanged(update, entry.jobId);
        }
      }
      publish(update);
    }
    adjustJournalFollowing(update, options);
  }

  return kernel =>
    mergeUnregister(
      kernel.registerSlice(JOB_STATES),
      kernel.registerSlice(STATES_COPY),
      kernel.registerSlice(STANDBYS),
      kernel.registerSlice(CHANGED_JOBS),
      kernel.registerSlice(PUBLICATION),
      kernel.registerSlice(IS_JOURNAL_FOLLOWED),
      kernel.registerCommand(STATES_READ, onRead),
      kernel.registerCommand(STATES_APPEND_ENDED, (update, payload) => {
        onStatesAppendEnded(update, payload);
        publish(update);
      }),
      kernel.registerCommand(HOLDING_BEGAN, update => {
        resetPublication(update);
        markAllChanged(update);
        publish(update);
      }),
      kernel.registerCommand(HOLDING_ENDED, update => {
        resetPublication(update);
        // A holder seldom reads what it writes itself.
        update.emit(READ_STATES_NOW, undefined);
      }),
      kernel.registerCommand(PROGRESS_DURABLE, (update, {entries}) => {
        for (const entry of entries) {
          if (entry.kind === 'progress') {
            markIfChanged(update, entry.progress.jobId);
          } else if (entry.kind === 'forgotten') {
            markIfChanged(update, entry.jobId);
          }
        }
        publish(update);
      }),
      kernel.registerCommand(HOLDING_TICK, update => {
        publish(update);
        adjustJournalFollowing(update, options);
      }),
    );
}
