import type {
  ClientAccount,
  Resources,
  Job,
  QueuePolicy,
  RunId,
} from '@samphireramp/jobs';
import type {Kernel} from '@samphireramp/kernel';
import type {TaskScript} from './ModelRun';
import type {SiteFaultState} from './SiteFaultState';

/** Configures a model site. */
export interface ModelSiteOptions {
  /** Number of hosts. */
  readonly hosts: number;
  /** Number of workers. */
  readonly workers: number;
  /** Total resources of each worker. */
  readonly capacity: Resources;
  /** Source of all randomness in the site; returns numbers in [0, 1). */
  readonly random: () => number;
  /** Replaces parts of `NO_SITE_FAULTS`. */
  readonly faultState?: Partial<SiteFaultState>;
  /** Policies of the queues, each of which gets a route. */
  readonly policies: readonly QueuePolicy[];
  /** Client accounts of the first configuration; none by default. */
  readonly accounts?: readonly ClientAccount[];
  /** Number of workers that the adviser forbids to each step; defaults to 0. */
  readonly forbiddenWorkersPerStep?: number;
  /** How long the state of an ended job is kept; defaults to ten minutes. */
  readonly keepEndedMillis?: number;
  /** Whether the holder learns run times; defaults to true. */
  readonly learnsRunTimes?: boolean;
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
