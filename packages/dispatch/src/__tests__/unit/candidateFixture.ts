import type {Worker} from '@samphireramp/fleet';
import type {Resources} from '@samphireramp/jobs';
import type {Candidate} from '../../candidates';

/** Builds a worker with free resources; `fields` replaces what a test is about. */
export function buildCandidate(
  worker: Pick<Worker, 'id' | 'capacity'> & Partial<Worker>,
  free: Resources,
  fields: Partial<Candidate> = {},
): Candidate {
  return {
    worker: Object.defineProperties(
      {incarnation: worker.id, rack: ''},
      Object.getOwnPropertyDescriptors(worker),
    ) as Worker,
    ...free,
    cpuMillisAtStart: free.cpuMillis,
    isClosed: false,
    startableRuns: Infinity,
    stoppingRuns: [],
    listReleases: () => [],
    speed: 1,
    ...fields,
  };
}
