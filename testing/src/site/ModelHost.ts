import type {Resources, Job, QueuePolicy, RunId} from '@samphireramp/jobs';
import type {Kernel} from '@samphireramp/kernel';
import type {TaskScript} from './ModelWorker';
import type {SiteFaultState} from './SiteWeather';

/** What a model site is made of. */
export interface ModelSiteOptions {
  readonly hosts: number;
  readonly workers: number;
  readonly capacity: Resources;
  readonly random: () => number;
  readonly weather?: Partial<SiteFaultState>;
  readonly policies: readonly QueuePolicy[];
  /** Workers that the adviser forbids to each step of a queue with advice. */
  readonly forbiddenWorkers?: number;
  /** How long callers may ask for a job that has ended; long unless set. */
  readonly keepEndedMillis?: number;
  /** What a task does when it runs. */
  readonly script: (job: Job, place: RunId) => TaskScript;
}

/** A host of a model site. */
export interface ModelHost {
  readonly name: string;
  kernel: Kernel;
  isUp: boolean;
  isFrozen: boolean;
  /** Milliseconds that its time of day is ahead. */
  clockAhead: number;
  unregister: () => void;
}
