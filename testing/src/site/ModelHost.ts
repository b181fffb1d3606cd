import type {Resources, Job, QueuePolicy, RunId} from '@samphireramp/jobs';
import type {Kernel} from '@samphireramp/kernel';
import type {TaskScript} from './ModelWorker';
import type {SiteFaultState} from './SiteFaultState';

/** Configures a model site. */
export interface ModelSiteOptions {
  readonly hosts: number;
  readonly workers: number;
  readonly capacity: Resources;
  readonly random: () => number;
  readonly faultState?: Partial<SiteFaultState>;
  readonly policies: readonly QueuePolicy[];
  /** Number of workers that the adviser forbids to each step. */
  readonly forbiddenWorkersPerStep?: number;
  /** How long the state of an ended job is kept; defaults to ten minutes. */
  readonly keepEndedMillis?: number;
  /** Returns the behaviour of a task. */
  readonly script: (job: Job, runId: RunId) => TaskScript;
}

/** A host of a model site; a restart replaces its kernel. */
export interface ModelHost {
  readonly name: string;
  kernel: Kernel;
  isUp: boolean;
  /** While true, the timers of the host don't fire. */
  isFrozen: boolean;
  /** Offset of its wall clock from virtual time; positive if it is ahead. */
  clockOffsetMillis: number;
  /** Unregisters all plug-ins from the current kernel. */
  unregister: () => void;
}
