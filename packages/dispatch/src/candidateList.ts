import {
  RUNS,
  type Worker,
  WORKERS,
  countStartableRuns,
} from '@samphireramp/fleet';
import type {StateReader} from '@samphireramp/kernel';
import type {Candidate} from './candidates';

/** Lists the workers that accept new runs, with their free resources. */
export function listCandidates(
  state: StateReader,
  now: number,
  speedOf: (incarnation: string) => number = () => 1,
): Candidate[] {
  return new CandidateList().fill(state, now, speedOf);
}

/**
 * The list of candidates, which passes fill one after the other. Many passes go over
 * hundreds of workers each second, so that new rows for each would fill the heap.
 */
export class CandidateList {
  private readonly rows = new Map<string, Candidate>();

  /** Lists the candidates; those of earlier calls must not be used any more. */
  fill(
    state: StateReader,
    now: number,
    speedOf: (incarnation: string) => number,
  ): Candidate[] {
    const workers = state.read(WORKERS);
    const candidates: Candidate[] = [];
    for (const worker of workers.values()) {
      if (acceptsRuns(worker, now)) {
        candidates.push(this.fillRow(state, worker, now, speedOf));
      }
    }
    if (this.rows.size > workers.size) {
      this.forgetExcept(candidates);
    }
    return candidates;
  }

  private fillRow(
    state: StateReader,
    worker: Worker,
    now: number,
    speedOf: (incarnation: string) => number,
  ): Candidate {
    const {capacity, incarnation} = worker;
    const {reserved, stoppingRuns, listReleases} = state
      .read(RUNS)
      .summaryOf(incarnation);
    const row = this.rowOf(worker);
    row.worker = worker;
    row.cpuMillis = capacity.cpuMillis - reserved.cpuMillis;
    row.cpuMillisAtStart = row.cpuMillis;
    row.memoryMegabytes = capacity.memoryMegabytes - reserved.memoryMegabytes;
    row.accelerators = capacity.accelerators - reserved.accelerators;
    row.isClosed = false;
    row.startableRuns = countStartableRuns(state, worker, now);
    row.stoppingRuns = stoppingRuns;
    row.listReleases = listReleases;
    row.speed = speedOf(incarnation);
    return row;
  }

  private rowOf(worker: Worker): Candidate {
    const known = this.rows.get(worker.incarnation);
    if (known !== undefined) {
      return known;
    }
    const row: Candidate = {
      worker,
      cpuMillisAtStart: 0,
      cpuMillis: 0,
      memoryMegabytes: 0,
      accelerators: 0,
      isClosed: false,
      startableRuns: 0,
      stoppingRuns: [],
      listReleases: () => [],
      speed: 1,
    };
    this.rows.set(worker.incarnation, row);
    return row;
  }

  private forgetExcept(candidates: readonly Candidate[]): void {
    this.rows.clear();
    for (const row of candidates) {
      this.rows.set(row.worker.incarnation, row);
    }
  }
}

function acceptsRuns(worker: Worker, now: number): boolean {
  return (
    worker.isRegistered &&
    worker.hasReported &&
    !worker.isDraining &&
    !worker.isSilent &&
    worker.doubtedAt === undefined &&
    now >= worker.avoidedUntil
  );
}
