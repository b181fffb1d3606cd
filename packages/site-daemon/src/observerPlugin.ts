import {DISPATCH_EVENT, JOBS, listActiveJobs} from '@samphireramp/dispatch';
import {FLEET_EVENT, RUNS, WORKERS} from '@samphireramp/fleet';
import {
  HOLDING,
  HOLDING_EVENT,
  HOLDING_TICK,
  heldTerm,
} from '@samphireramp/holding';
import {
  IS_JOURNAL_FOLLOWED,
  JOB_STATES,
  STANDBY_EVENT,
  STATES_COPY,
} from '@samphireramp/job-states';
import {INTAKE_EVENT} from '@samphireramp/intake';
import {
  type Plugin,
  type StateReader,
  mergeUnregister,
} from '@samphireramp/kernel';
import type {GaugeSample, Log, Metrics} from '@samphireramp/telemetry';
import {HOLDING_TICK_MILLIS} from './timersPlugin';

/** A tick that is later than this is logged: timeouts of calls are late, too. */
const LONG_LOOP_DELAY_MILLIS = 150;

/** Reads gauges from the state, at each scrape. */
export type GaugeSource = (state: StateReader) => readonly GaugeSample[];

/** Options of `createObserverPlugin`. */
export interface ObserverOptions {
  readonly metrics: Metrics;
  readonly log: Log;
  /** Gauges beside those of the observer itself. */
  readonly gaugeSources?: readonly GaugeSource[];
}

/** Writes logs and metrics from events and state; changes no state. */
export function createObserverPlugin({
  metrics,
  log,
  gaugeSources = [],
}: ObserverOptions): Plugin {
  return kernel => {
    let tickedAt: number | undefined;

    function observeLoopDelay(now: number): void {
      if (tickedAt !== undefined) {
        const delayMillis = Math.round(now - tickedAt - HOLDING_TICK_MILLIS);
        metrics.time('loop_delay', delayMillis);
        if (delayMillis > LONG_LOOP_DELAY_MILLIS) {
          log('loop-delayed', {millis: delayMillis, term: heldTerm(kernel)});
        }
      }
      tickedAt = now;
    }

    return mergeUnregister(
      metrics.gauge('active_jobs', () => listActiveJobs(kernel).length),
      metrics.gauge('known_jobs', () => kernel.read(JOBS).size),
      metrics.gauge('job_views', () => kernel.read(JOB_STATES).size),
      metrics.gauge('runs', () => kernel.read(RUNS).size),
      metrics.gauge('workers', () => kernel.read(WORKERS).size),
      metrics.gauge('journal_lag_records', () => {
        const {endOffset, logEndOffset} = kernel.read(HOLDING).get();
        return logEndOffset - endOffset;
      }),
      metrics.gauge('states_lag_records', () => {
        const {endOffset, logEndOffset} = kernel.read(STATES_COPY).get();
        return logEndOffset - endOffset;
      }),
      metrics.gauge('follows_journal', () =>
        kernel.read(IS_JOURNAL_FOLLOWED).get() ? 1 : 0,
      ),
      metrics.gauge('is_holder', () =>
        heldTerm(kernel) === undefined ? 0 : 1,
      ),
      ...gaugeSources.map(readGauges =>
        metrics.samples(() => readGauges(kernel)),
      ),
      kernel.registerEffect(INTAKE_EVENT, event => {
        metrics.count('requests', {outcome: event.event});
        if (event.millis !== undefined) {
          metrics.time('request', event.millis, {kind: event.kind});
        }
        log(event.event, {
          job: event.subject,
          queue: event.queue,
          detail: event.detail,
          millis: event.millis,
        });
      }),
      kernel.registerEffect(DISPATCH_EVENT, event => {
        metrics.count('dispatch_events', {event: event.event});
        if (event.millis !== undefined) {
          metrics.time(event.event.replaceAll('-', '_'), event.millis);
        }
        log(event.event, {
          subject: event.subject,
          queue: event.queue,
          worker: event.worker,
          detail: event.detail,
          millis: event.millis,
          account: event.account,
          atLimits: event.atLimits,
          term: heldTerm(kernel),
        });
      }),
      kernel.registerEffect(FLEET_EVENT, ({event, ...fields}) => {
        metrics.count('fleet_events', {event});
        log(event, {...fields, term: heldTerm(kernel)});
      }),
      kernel.registerEffect(STANDBY_EVENT, ({event, detail, silentMillis}) => {
        metrics.count('standby_events', {event});
        log(event, {detail, silentMillis});
      }),
      kernel.registerCommand(HOLDING_TICK, update =>
        observeLoopDelay(update.now),
      ),
      kernel.registerEffect(HOLDING_EVENT, event => {
        metrics.count('holding_events', {event: event.event});
        log(event.event, {
          term: event.term,
          holder: event.holder,
          detail: event.detail,
          silentMillis: event.silentMillis,
          journalEnd: kernel.read(HOLDING).get().endOffset,
        });
      }),
    );
  };
}
