import type {RunId} from '@samphireramp/jobs';
import {Hono} from 'hono';
import type {ModelWorker} from './ModelWorker';
import {type PlatformFaultState, injectCallFaults} from './platformFaults';

/** Body of a poll, start or stop; has the fields of all three. */
interface WorkerCallBody {
  readonly task: string;
  readonly run: number;
  readonly specification: string;
  readonly until_ms: number;
  readonly fencing_token: number;
  readonly last_checkpoint?: string;
  readonly ack_cursor: number;
  readonly wait_ms?: number;
  readonly ticket?: string;
}

/** Reasons for refusals on the wire; other refusals are sent as `room`. */
const REFUSAL_REASONS: Readonly<Record<string, string>> = {
  fenced: 'fence',
  superseded: 'old',
  late: 'late',
  'bad-ticket': 'ticket',
};

/** Creates an HTTP application that serves the protocol of a model worker. */
export function createWorkerApp(
  worker: ModelWorker,
  faultState: PlatformFaultState,
): Hono {
  const app = new Hono();
  injectCallFaults(
    app,
    '/api/run-*',
    () => faultState.order(worker),
    faultState,
  );
  app.use(async (context, next) => {
    if (context.req.header('expected-instance') !== worker.id) {
      return context.json({}, 421);
    }
    await next();
    return undefined;
  });
  app.post('/api/hold', async context => {
    const body = await context.req.json<WorkerCallBody>();
    const {incarnation} = worker;
    const report = await worker.poll(
      body.fencing_token,
      body.ack_cursor,
      body.until_ms,
      body.wait_ms ?? 0,
    );
    // The connection to a life that has ended brings no answer.
    if (worker.incarnation !== incarnation) {
      return new Promise<Response>(() => undefined);
    }
    if (report === 'fenced') {
      return context.json(refuse(worker, 'fence'), 409);
    }
    return context.json({
      clock_ms: report.clockMillis,
      born: worker.born,
      running: report.running.map(run => [
        taskNameOf(run.runId),
        run.runId.run,
        run.checkpoint,
        run.percentDone,
        0,
      ]),
      ended_runs: report.ended.map(end => [
        end.endNumber,
        taskNameOf(end.runId),
        end.runId.run,
        end.outcome,
        end.checkpoint,
      ]),
    });
  });
  app.post('/api/run-start', async context => {
    const body = await context.req.json<WorkerCallBody>();
    const answer = worker.start(
      {
        runId: runIdOf(body),
        incarnation: worker.incarnation,
        input: body.specification,
        checkpoint: body.last_checkpoint ?? '',
        ticket: body.ticket,
      },
      body.fencing_token,
      body.until_ms,
    );
    return answer === 'started'
      ? context.json({clock_ms: Math.floor(worker.clock())})
      : context.json(refuse(worker, REFUSAL_REASONS[answer] ?? 'room'), 409);
  });
  app.post('/api/run-stop', async context => {
    const body = await context.req.json<WorkerCallBody>();
    return worker.stop(runIdOf(body), body.fencing_token) === 'stopped'
      ? context.json({clock_ms: Math.floor(worker.clock())})
      : context.json(refuse(worker, 'fence'), 409);
  });
  return app;
}

/** Returns the content of a refusal; each answer has a reading of the clock. */
function refuse(worker: ModelWorker, reason: string) {
  return {clock_ms: Math.floor(worker.clock()), reason};
}

/** Returns the name of a run's task on the wire. */
function taskNameOf({jobId, occurrence, step, index}: RunId): string {
  return [jobId, occurrence, step, index].join('.');
}

function runIdOf({task, run}: WorkerCallBody): RunId {
  const [jobId, occurrence, step, index] = task.split('.');
  return {
    jobId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
    run,
  };
}
