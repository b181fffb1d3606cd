import {serve} from '@hono/node-server';
import type {ListedHost} from '@samphireramp/model';
import {Hono} from 'hono';

/** What the host list stand-in is started with. */
export interface HostListOptions {
  readonly host: string;
  readonly port: number;
  /** Changes are shown this much later. */
  readonly lagMillis: number;
  /** A host that does not report for this long is dropped. */
  readonly expiryMillis: number;
}

interface Report {
  readonly listed: ListedHost;
  readonly at: number;
}

/** Starts a lagging list of hosts over HTTP. */
export function startHostList(options: HostListOptions) {
  const reports = new Map<string, Report>();
  let shown: Array<{readonly at: number; readonly hosts: ListedHost[]}> = [];

  function current(): ListedHost[] {
    const cutoff = Date.now() - options.expiryMillis;
    return [...reports.values()]
      .filter(report => report.at >= cutoff)
      .map(report => report.listed);
  }

  function lagging(): ListedHost[] {
    const cutoff = Date.now() - options.lagMillis;
    shown.push({at: Date.now(), hosts: current()});
    const older = shown.filter(view => view.at <= cutoff);
    const newest = older[older.length - 1];
    shown = shown.filter(view => view.at > cutoff || view === newest);
    return newest?.hosts ?? [];
  }

  const timer = setInterval(lagging, 500);
  timer.unref();
  const app = new Hono();
  app.put('/hosts/:name', async context => {
    const listed = (await context.req.json()) as ListedHost;
    reports.set(context.req.param('name'), {listed, at: Date.now()});
    return context.json({});
  });
  app.delete('/hosts/:name', context => {
    reports.delete(context.req.param('name'));
    return context.json({});
  });
  app.get('/hosts', context => context.json({hosts: lagging()}));
  return serve({fetch: app.fetch, hostname: options.host, port: options.port});
}
