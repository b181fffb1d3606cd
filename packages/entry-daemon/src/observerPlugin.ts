import {AUDITED, REVISION_IN_FORCE} from '@samphireramp/configuration';
import {RECORD_SET_ASIDE, SHARD_RECOVERED} from '@samphireramp/journal';
import {type Plugin, mergeUnregister} from '@samphireramp/kernel';
import {HOSTS} from '@samphireramp/membership';
import {SHARD_HELD, SHARD_LOST, WORKER_SILENT} from '@samphireramp/ownership';
import {ANSWER_DROPPED, CALLS} from '@samphireramp/routing';
import {
  EXECUTED,
  EXECUTION_SILENT,
  QUEUE,
  TASKS,
  WORK_EVENT,
} from '@samphireramp/scheduling';
import type {Log, Metrics} from '@samphireramp/telemetry';

/** What the observer is given. */
export interface ObserverOptions {
  readonly metrics: Metrics;
  readonly log: Log;
}

/** Turns what happens into logs and metrics; decides nothing. */
export function createObserverPlugin({metrics, log}: ObserverOptions): Plugin {
  return kernel =>
    mergeUnregister(
      metrics.gauge('queued', () => kernel.read(QUEUE).size),
      metrics.gauge('tasks', () => kernel.read(TASKS).size),
      metrics.gauge('open_calls', () => kernel.read(CALLS).size),
      metrics.gauge('known_hosts', () => kernel.read(HOSTS).size),
      kernel.registerEffect(WORK_EVENT, work => {
        const {event, workload, subject, detail, millis} = work;
        metrics.count('work_events', {event, workload});
        if (millis !== undefined) {
          metrics.time(event.replaceAll('-', '_'), millis, {workload});
        }
        log(event, {subject, workload, detail, millis});
      }),
      kernel.registerEffect(AUDITED, entry => {
        metrics.count('configuration_changes', {outcome: entry.outcome});
        log('configuration-change', {
          change: entry.changeId,
          author: entry.author,
          from: entry.fromRevision,
          to: entry.toRevision,
          outcome: entry.outcome,
          changed: entry.changed.join('; '),
        });
      }),
      kernel.registerEffect(RECORD_SET_ASIDE, record => {
        metrics.count('records_set_aside');
        log('record-set-aside', {...record});
      }),
      kernel.registerEffect(ANSWER_DROPPED, ({sendId}) => {
        metrics.count('answers_dropped');
        log('answer-dropped', {call: sendId});
      }),
      kernel.registerCommand(EXECUTED, (_, {callId, answer}) => {
        if (answer.refusal !== undefined) {
          metrics.count('execution_refusals', {reason: answer.refusal});
          log('execution-refused', {call: callId, reason: answer.refusal});
        }
      }),
      kernel.registerCommand(EXECUTION_SILENT, (_, silent) => {
        metrics.count('execution_silences', {sent: String(silent.sent)});
        log('execution-silent', {...silent});
      }),
      kernel.registerCommand(REVISION_IN_FORCE, (_, {revision}) =>
        log('revision-in-force', {revision}),
      ),
      kernel.registerCommand(SHARD_HELD, (_, {shardId, term}) => {
        metrics.count('shards_taken');
        log('shard-held', {shard: shardId, term});
      }),
      kernel.registerCommand(SHARD_RECOVERED, (_, {shardId, changes}) =>
        log('shard-recovered', {shard: shardId, changes: changes.length}),
      ),
      kernel.registerCommand(SHARD_LOST, (_, {shardId}) => {
        metrics.count('shards_lost');
        log('shard-lost', {shard: shardId});
      }),
      kernel.registerCommand(WORKER_SILENT, (_, {worker, detail}) => {
        metrics.count('worker_silences');
        log('worker-silent', {worker, detail});
      }),
    );
}
