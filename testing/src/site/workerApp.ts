import type {RunId} from '@samphireramp/jobs';
import {Hono} from 'hono';
import type {ModelWorker} from './ModelWorker';
import {type PlatformFaultState, injectCallFaults} from './platformWeather';

interface OrderBody {
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

const REASONS: Readonly<Record<string, string>> = {
  fenced: 'fence',
  superseded: 'old',
  late: 'late',
  'bad-ticket': 'ticket',
};

/** A worker's interface over HTTP. */
export function workerApp(
  worker: ModelWorker,
  weather: PlatformFaultState,
): Hono {
  const app = new Hono();
  injectCallFaults(app, '/api/run-*', () => weather.order(worker), weather);
  app.use(async (context, next) => {
    if (context.req.header('expected-instance') !== worker.id) {
      return context.json({}, 421);
    }
    await next();
    return undefined;
  });
  app.post('/api/hold', async context => {
    const body = await context.req.json<OrderBody>();
    const listing = await worker.hold(
      body.fencing_token,
      body.ack_cursor,
      body.until_ms,
      body.wait_ms ?? 0,
    );
    if (listing === 'fenced') {
      return context.json({reason: 'fence'}, 409);
    }
    return context.json({
      clock_ms: listing.clockMillis,
      born: bornOf(worker),
      running: listing.running.map(run => [
        nameOf(run.runId),
        run.runId.run,
        run.checkpoint,
        run.percent,
        0,
      ]),
      ended_runs: listing.ended.map(end => [
        end.number,
        nameOf(end.runId),
        end.runId.run,
        end.outcome,
        end.checkpoint,
      ]),
    });
  });
  app.post('/api/run-start', async context => {
    const body = await context.req.json<OrderBody>();
    const outcome = worker.start(
      {
        runId: placeOf(body),
        incarnation: worker.incarnation,
        input: body.specification,
        checkpoint: body.last_checkpoint ?? '',
        ticket: body.ticket,
      },
      body.fencing_token,
      body.until_ms,
    );
    return outcome === 'started'
      ? context.json({clock_ms: Math.floor(worker.clock())})
      : context.json({reason: REASONS[outcome] ?? 'room'}, 409);
  });
  app.post('/api/run-stop', async context => {
    const body = await context.req.json<OrderBody>();
    return worker.stop(placeOf(body), body.fencing_token) === 'stopped'
      ? context.json({clock_ms: Math.floor(worker.clock())})
      : context.json({reason: 'fence'}, 409);
  });
  return app;
}

function nameOf({jobId, occurrence, step, index}: RunId): string {
  return [jobId, occurrence, step, index].join('.');
}

function placeOf({task, run}: OrderBody): RunId {
  const [jobId, occurrence, step, index] = task.split('.');
  return {
    jobId,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
    run,
  };
}

/** The moment that a worker's life began, as it tells it. */
export function bornOf(worker: ModelWorker): number {
  return Number(worker.incarnation.split('@')[1]);
}
