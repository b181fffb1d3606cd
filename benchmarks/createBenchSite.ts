import {
  REQUEST_ADVICE,
  ADVICE_RECEIVED,
  CONFIGURATION_IN_FORCE,
  DISPATCH_TICK,
  PLACE_TASKS,
  SCHEDULE_PLACEMENT,
  REQUESTS_READ,
  createDispatchPlugin,
} from '@samphireramp/dispatch';
import {
  POLL_WORKER,
  ORDER_START,
  START_ANSWERED,
  WORKER_REGISTRY_READ,
  WORKER_REPORTED,
  createFleetPlugin,
} from '@samphireramp/fleet';
import {
  APPEND_JOURNAL,
  HOLDING_TICK,
  JOURNAL_APPENDED,
  JOURNAL_READ,
  createHoldingPlugin,
} from '@samphireramp/holding';
import {createHostsPlugin} from '@samphireramp/hosts';
import type {Job, RunId} from '@samphireramp/jobs';
import {type Kernel, createKernel} from '@samphireramp/kernel';
import {encodeJournalEntry} from '@samphireramp/record-codec';
import {buildConfiguration, buildPolicy} from '@samphireramp/testing';

const HOST = 'host-a';
const CAPACITY = {cpuMillis: 32_000, memoryMegabytes: 65_536, accelerators: 0};

/** A holder whose log, workers and adviser answer at once. */
export interface BenchSite {
  readonly kernel: Kernel;
  /** Jobs come in, as read from the log. */
  take(jobs: readonly Job[]): void;
  /** Places what waits until nothing more is placed. */
  place(): void;
  /** Lists the ends of all runs that were ordered. */
  endAll(): void;
  /** Bytes written to the journal so far. */
  journalBytes(): number;
  /** Runs ordered so far. */
  ordered(): number;
}

/** The queue that jobs of benchmarks are handed in at. */
export const BENCH_POLICY = buildPolicy({
  advice: {decisionMillis: 5, perWorkerMillis: 0, validityMillis: 60_000},
});

/** Creates a host that holds a site of so many workers. */
export function createBenchSite(workers: number): BenchSite {
  const kernel = createKernel({
    now: () => performance.now(),
    onError: error => {
      throw error;
    },
  });
  let end = 0;
  let bytes = 0;
  let orders = 0;
  let isPlanned = false;
  const running = new Map<string, RunId[]>();
  const ended = new Map<string, number>();
  for (const plugin of [
    createHostsPlugin(),
    createHoldingPlugin({
      self: HOST,
      incarnation: HOST,
      roundTripMillis: () => 0,
      claimDelayMillis: () => -1000,
    }),
    createFleetPlugin(),
    createDispatchPlugin({
      self: HOST,
      wallClock: () => Date.now(),
      partitions: 1,
      keepEndedMillis: Infinity,
    }),
  ]) {
    kernel.register(plugin);
  }
  kernel.registerEffect(APPEND_JOURNAL, ({batch, entries}) => {
    bytes += entries
      .map(encodeJournalEntry)
      .reduce((sum, {key, value}) => sum + key.length + value.length, 0);
    const offset = end;
    end += entries.length;
    kernel.dispatch(JOURNAL_APPENDED, {
      batch,
      outcome: {kind: 'appended', offset, end},
    });
  });
  kernel.registerEffect(
    POLL_WORKER,
    ({incarnation: life, term, waitMillis}) => {
      // Only the first hold is answered: the next ones wait for an end.
      if (waitMillis === 0) {
        answerHold(life, term, 0);
      }
    },
  );
  kernel.registerEffect(ORDER_START, ({order, term}) => {
    orders++;
    const runs = running.get(order.incarnation) ?? [];
    running.set(order.incarnation, [...runs, order.runId]);
    kernel.dispatch(START_ANSWERED, {order, term, outcome: 'started'});
  });
  kernel.registerEffect(REQUEST_ADVICE, ({askId, workerIds}) =>
    kernel.dispatch(ADVICE_RECEIVED, {
      askId,
      advice: {
        kind: 'answered',
        permits: workerIds.map(workerId => ({workerId, ticket: 'ticket'})),
        validityMillis: 60_000,
      },
    }),
  );
  kernel.registerEffect(SCHEDULE_PLACEMENT, () => {
    isPlanned = true;
  });

  function answerHold(life: string, term: number, from: number): void {
    const runs = running.get(life) ?? [];
    kernel.dispatch(WORKER_REPORTED, {
      incarnation: life,
      term,
      sentAt: performance.now(),
      report: {
        clockMillis: Math.floor(performance.now()),
        incarnation: life,
        running: [],
        ended: runs.slice(from).map((place, index) => ({
          number: from + index + 1,
          runId: place,
          outcome: 'done' as const,
          checkpoint: '',
        })),
      },
    });
    ended.set(life, runs.length);
  }

  kernel.dispatch(CONFIGURATION_IN_FORCE, {
    configuration: buildConfiguration([BENCH_POLICY]),
  });
  kernel.dispatch(JOURNAL_READ, {entries: [], end: 0, isSnapshot: true});
  kernel.dispatch(HOLDING_TICK, undefined);
  kernel.dispatch(REQUESTS_READ, {partition: 0, requests: []});
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
    take: jobs =>
      kernel.dispatch(REQUESTS_READ, {
        partition: 0,
        requests: jobs.map(job => ({kind: 'submit' as const, job})),
      }),
    place: () => {
      while (isPlanned) {
        isPlanned = false;
        kernel.dispatch(PLACE_TASKS, undefined);
      }
      kernel.dispatch(DISPATCH_TICK, undefined);
    },
    endAll: () => {
      for (const life of running.keys()) {
        answerHold(life, 1, ended.get(life) ?? 0);
      }
    },
    journalBytes: () => bytes,
    ordered: () => orders,
  };
}
