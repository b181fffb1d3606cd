import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {LogModel, NO_FAULTS} from './LogModel';

/** What the log stand-in is started with. */
export interface LogOptions {
  readonly host: string;
  readonly port: number;
  readonly retentionMillis: number;
}

/** Starts a log over HTTP. `POST /faults` sets how it misbehaves. */
export function startLog(options: LogOptions) {
  const log = new LogModel(() => Date.now(), options.retentionMillis);
  const app = new Hono();

  app.use('/streams/*', async (context, next) => {
    if (log.faults.isDown) {
      return context.text('down', 503);
    }
    if (log.faults.delayMillis > 0) {
      await pause(log.faults.delayMillis);
    }
    return next();
  });

  app.post('/streams/:stream/records', async context => {
    const body: unknown = await context.req.json();
    const offset = log.append(context.req.param('stream'), body);
    if (log.losesAnswer()) {
      return context.text('lost', 504);
    }
    return context.json({offset});
  });

  app.get('/streams/:stream/records', async context => {
    const stream = context.req.param('stream');
    const from = Number(context.req.query('from') ?? 0);
    const waitMillis = Number(context.req.query('wait') ?? 0);
    if (log.read(stream, from).records.length === 0 && waitMillis > 0) {
      await appended(log, stream, waitMillis);
    }
    return context.json(log.read(stream, from));
  });

  app.post('/faults', async context => {
    log.faults = {...NO_FAULTS, ...(await context.req.json())};
    return context.json(log.faults);
  });

  return serve({fetch: app.fetch, hostname: options.host, port: options.port});
}

function pause(millis: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}

function appended(
  log: LogModel,
  stream: string,
  waitMillis: number,
): Promise<void> {
  return new Promise(resolve => {
    const forget = log.onAppend(stream, done);
    const timer = setTimeout(done, waitMillis);
    function done(): void {
      forget();
      clearTimeout(timer);
      resolve();
    }
  });
}
