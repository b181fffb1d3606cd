import type {JobStatus} from '@samphireramp/intake';
import {
  type Job,
  RESOURCE_NAMES,
  type Resources,
  addResources,
} from '@samphireramp/jobs';
import {sumReserved} from './ModelCapacity';
import type {ModelWorker} from './ModelWorker';

/** For so long a job may have nothing running although there is ample room for it. */
const MAX_IDLE_MILLIS = 3000;
/** There must be room for so many times the job. */
const ROOM_FACTOR = 2;
/** In a service of which this share is in use, jobs may wait. */
const BUSY_SHARE = 0.5;

/**
 * Judges whether jobs of one step wait beside an idle site: for 3 s nothing of a job
 * runs while there is capacity for it twice over, and under half is in use.
 */
export class IdleSiteLedger {
  /** Jobs that were handed in and are not over. */
  private readonly openJobs = new Map<string, Job>();
  /** Since when each of them has waited beside an idle site. */
  private readonly idleSince = new Map<string, number>();
  /** Longest time that any job has waited so, in milliseconds. */
  longestMillis = 0;
  /** Jobs that have waited for too long. */
  readonly lostJobs = new Set<string>();

  constructor(private readonly workers: readonly ModelWorker[]) {}

  /** A job has been handed in. */
  onSubmitted(job: Job): void {
    this.openJobs.set(job.id, job);
  }

  /** Looks at the workers; `stateOf` tells the state of a job. */
  check(now: number, stateOf: (jobId: string) => JobStatus | undefined): void {
    const isBusy = this.isBusy();
    const runningJobs = new Set(
      this.workers.flatMap(({runs}) => runs.map(({runId}) => runId.jobId)),
    );
    for (const [id, job] of this.openJobs) {
      const state = stateOf(id);
      if (state === 'completed' || state === 'failed') {
        this.openJobs.delete(id);
        continue;
      }
      const isWaiting =
        !isBusy && !runningJobs.has(id) && this.hasAmpleRoom(job);
      if (!isWaiting) {
        this.idleSince.delete(id);
        continue;
      }
      const since = this.idleSince.get(id) ?? now;
      this.idleSince.set(id, since);
      this.longestMillis = Math.max(this.longestMillis, now - since);
      if (now - since >= MAX_IDLE_MILLIS) {
        this.lostJobs.add(id);
      }
    }
  }

  private isBusy(): boolean {
    return RESOURCE_NAMES.some(name => {
      let capacity = 0;
      let free = 0;
      for (const worker of this.workers) {
        capacity += worker.capacity.current()[name];
        free += freeResources(worker)[name];
      }
      return capacity > 0 && capacity - free >= capacity * BUSY_SHARE;
    });
  }

  private hasAmpleRoom({steps: [{count, need, isGang}]}: Job): boolean {
    let tasks = 0;
    for (const worker of this.workers) {
      const free = freeResources(worker);
      const fitting = RESOURCE_NAMES.map(name =>
        need[name] > 0 ? Math.floor(free[name] / need[name]) : Infinity,
      );
      tasks += Math.max(0, Math.min(...fitting));
    }
    return tasks >= ROOM_FACTOR * (isGang ? count : 1);
  }
}

/** Returns the resources of a worker that none of its runs reserves. */
function freeResources({capacity, runs}: ModelWorker): Resources {
  const free = {...capacity.current()};
  addResources(free, sumReserved(runs.map(run => run.script.step)), -1);
  return free;
}
