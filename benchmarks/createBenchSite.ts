import {CONFIGURATION_IN_FORCE} from '@samphireramp/configuration';
import {
  REQUEST_ADVICE,
  ADVICE_RECEIVED,
  DISPATCH_TICK,
  BEGIN_PASS,
  PLACE_TASKS,
  SCHEDULE_PLACEMENT,
  REQUESTS_READ,
} from '@samphireramp/dispatch';
import {
  POLL_WORKER,
  ORDER_START,
  START_ANSWERED,
  WORKER_REGISTRY_READ,
  WORKER_REPORTED,
} from '@samphireramp/fleet';
import {
  APPEND_JOURNAL,
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  createHoldingPlugin,
} from '@samphireramp/holding';
import {createHostsPlugin} from '@samphireramp/hosts';
import type {ClientAccount, Job, QueuePolicy, RunId} from '@samphireramp/jobs';
import {type Kernel, createKernel} from '@samphireramp/kernel';
import {encodeJournalEntry} from '@samphireramp/record-codec';
import {buildConfiguration, buildPolicy} from '@samphireramp/testing';
import {createPlacementPlugins} from '@samphireramp/site-daemon';

const HOST = 'host-a';
const CAPACITY = {cpuMillis: 32_000, memoryMegabytes: 65_536, accelerators: 0};

/** A holder whose log, workers and adviser are stubs that answer at once. */
export interface BenchSite {
  readonly kernel: Kernel;
  /** Delivers jobs as if read from the log. */
  submitJobs(jobs: readonly Job[]): void;
  /** Runs scheduled placement passes until none is left, then one tick. */
  placeTasks(): void;
  /** Runs one placement pass over all steps, and returns its duration in milliseconds. */
  timePass(): number;
  /** Reports the end of every run that was started and has not ended. */
  endAllRuns(): void;
  /** Total bytes of the keys and values appended to the journal. */
  journalBytes(): number;
  /** Number of start orders sent. */
  countStarts(): number;
}

/** Policy of the queue to which benchmarks submit jobs. */
export const BENCH_POLICY = buildPolicy({
  advice: {decisionMillis: 5, perWorkerMillis: 0, validityMillis: 60_000},
});

/** Creates a site of one host, which holds it, and a number of workers. */
export function createBenchSite(
  workers: number,
  policies: readonly QueuePolicy[] = [BENCH_POLICY],
  clientAccounts: readonly ClientAccount[] = [],
): BenchSite {
  const kernel = createKernel({
    now: () => performance.now(),
    onError: error => {
      throw error;
    },
  });
  let endOffset = 0;
  let totalBytes = 0;
  let startCount = 0;
  let isPlacementScheduled = false;
  const runsByIncarnation = new Map<string, RunId[]>();
  const reportedCounts = new Map<string, number>();
  for (const plugin of [
    createHostsPlugin(),
    createHoldingPlugin({
      self: HOST,
      incarnation: HOST,
      roundTripMillis: () => 0,
      // Negative, so that the first tick claims the site.
      claimDelayMillis: () => -1000,
    }),
    ...createPlacementPlugins({
      self: HOST,
      wallClock: () => Date.now(),
      partitions: 1,
      keepEndedMillis: Infinity,
      learnRunTimes: true,
    }),
  ]) {
    kernel.register(plugin);
  }
  kernel.registerEffect(APPEND_JOURNAL, ({append, entries}) => {
    totalBytes += entries
      .map(encodeJournalEntry)
      .reduce((sum, {key, value}) => sum + key.length + value.length, 0);
    const offset = endOffset;
    endOffset += entries.length;
    kernel.dispatch(JOURNAL_APPEND_ENDED, {
      append,
      outcome: {kind: 'appended', offset, endOffset},
    });
  });
  kernel.registerEffect(POLL_WORKER, ({incarnation, term, waitMillis}) => {
    // Only the first poll, which does not wait, is answered here. Later ones
    // wait until endAllRuns() reports ends.
    if (waitMillis === 0) {
      answerPoll(incarnation, term, 0);
    }
  });
  kernel.registerEffect(ORDER_START, ({order, term, id, fence}) => {
    startCount++;
    const runs = runsByIncarnation.get(order.incarnation) ?? [];
    runsByIncarnation.set(order.incarnation, [...runs, order.runId]);
    kernel.dispatch(START_ANSWERED, {
      order,
      term,
      workerId: id,
      fence,
      outcome: 'started',
    });
  });
  kernel.registerEffect(REQUEST_ADVICE, ({requestId, workerIds}) =>
    kernel.dispatch(ADVICE_RECEIVED, {
      requestId,
      advice: {
        kind: 'answered',
        permits: workerIds.map(workerId => ({workerId, ticket: 'ticket'})),
        validityMillis: 60_000,
      },
    }),
  );
  kernel.registerEffect(SCHEDULE_PLACEMENT, () => {
    isPlacementScheduled = true;
  });

  /** Reports the ends of the runs from `firstIndex` on. */
  function answerPoll(
    incarnation: string,
    term: number,
    firstIndex: number,
  ): void {
    const runs = runsByIncarnation.get(incarnation) ?? [];
    kernel.dispatch(WORKER_REPORTED, {
      incarnation,
      term,
      address: '',
      sentAt: performance.now(),
      report: {
        clockMillis: Math.floor(performance.now()),
        incarnation,
        running: [],
        mayLackEnds: false,
        ended: runs.slice(firstIndex).map((runId, index) => ({
          endNumber: firstIndex + index + 1,
          runId,
          outcome: 'done' as const,
          checkpoint: '',
        })),
      },
    });
    reportedCounts.set(incarnation, runs.length);
  }

  kernel.dispatch(CONFIGURATION_IN_FORCE, {
    configuration: {
      ...buildConfiguration(policies),
      clientAccounts: [...clientAccounts],
    },
  });
  kernel.dispatch(JOURNAL_READ, {
    entries: [],
    endOffset: 0,
    logEndOffset: 0,
    sentAt: 0,
    isSnapshot: true,
  });
  kernel.dispatch(HOLDING_TICK, undefined);
  kernel.dispatch(REQUESTS_READ, {
    jobIds: [],
    partition: 0,
    requests: [],
    completeUntil: 0,
  });
  kernel.dispatch(WORKER_REGISTRY_READ, {
    records: Array.from({length: workers}, (_, index) => ({
      id: `worker-${index}`,
      incarnation: `worker-${index}@1`,
      bootedAt: 1,
      address: 'nowhere',
      zone: 'zone-a',
      rack: `rack-${index % 8}`,
      labels: [],
      pool: 'pool',
      capacity: CAPACITY,
      isDraining: false,
    })),
    removed: [],
    isSnapshot: true,
  });
  return {
    kernel,
    submitJobs: jobs =>
      kernel.dispatch(REQUESTS_READ, {
        jobIds: [],
        partition: 0,
        completeUntil: 0,
        requests: jobs.map(job => ({kind: 'submit' as const, job})),
      }),
    placeTasks: () => {
      while (isPlacementScheduled) {
        isPlacementScheduled = false;
        kernel.dispatch(BEGIN_PASS, {scope: 'all'});
        kernel.dispatch(PLACE_TASKS, {scope: 'all'});
      }
      kernel.dispatch(DISPATCH_TICK, undefined);
    },
    timePass: () => {
      kernel.dispatch(BEGIN_PASS, {scope: 'all'});
      const startedAt = performance.now();
      kernel.dispatch(PLACE_TASKS, {scope: 'all'});
      return performance.now() - startedAt;
    },
    endAllRuns: () => {
      for (const incarnation of runsByIncarnation.keys()) {
        answerPoll(incarnation, 1, reportedCounts.get(incarnation) ?? 0);
      }
    },
    journalBytes: () => totalBytes,
    countStarts: () => startCount,
  };
}
