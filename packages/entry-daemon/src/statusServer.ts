import {serve} from '@hono/node-server';
import {AUDIT, revisionInForce} from '@samphireramp/configuration';
import type {Plugin, StateReader} from '@samphireramp/kernel';
import {HOSTS, type OwnIdentity, isAlive} from '@samphireramp/membership';
import {SHARDS, WORKER_LINKS, heldShards} from '@samphireramp/ownership';
import {QUEUE, SHARD_WORK, TASKS, TEAM_USAGE} from '@samphireramp/scheduling';
import type {Metrics} from '@samphireramp/telemetry';
import {Hono} from 'hono';
import type {Server} from 'node:http';

/** What the status server is given. */
export interface StatusServerOptions {
  readonly host: string;
  readonly port: number;
  readonly self: OwnIdentity;
  readonly metrics: Metrics;
  readonly now: () => number;
}

/** Serves health, readiness, metrics and status to operators. */
export function createStatusServer(options: StatusServerOptions): Plugin {
  return kernel => {
    const app = new Hono();
    app.get('/health', context => context.text('ok'));
    app.get('/ready', context =>
      isReady(kernel)
        ? context.text('ready')
        : context.text('no declaration is in force', 503),
    );
    app.get('/metrics', context => context.text(options.metrics.render()));
    app.get('/status', context =>
      context.json(statusOf(kernel, options.self, options.now())),
    );
    app.get('/audit', context =>
      context.json([...kernel.read(AUDIT).values()]),
    );
    const {host: hostname, port} = options;
    const server = serve({fetch: app.fetch, hostname, port}) as Server;
    return () => server.close();
  };
}

function isReady(state: StateReader): boolean {
  return revisionInForce(state) !== undefined;
}

function statusOf(state: StateReader, self: OwnIdentity, now: number) {
  return {
    host: self.name,
    zone: self.zone,
    incarnation: self.incarnation,
    revision: revisionInForce(state)?.revision ?? 0,
    hosts: [...state.read(HOSTS).values()].map(host => ({
      name: host.name,
      zone: host.zone,
      isAlive: isAlive(host, now),
      leaving: host.leaving,
      revision: host.revision,
      holding: host.holding,
    })),
    holding: heldShards(state, now),
    shards: [...state.read(SHARDS).values()].map(shard => ({
      shardId: shard.shardId,
      phase: shard.phase,
      term: shard.term,
      isRecovered:
        state.read(SHARD_WORK).get(shard.shardId)?.isRecovered ?? false,
      queued: state.read(QUEUE).countOf(shard.shardId),
    })),
    workers: [...state.read(WORKER_LINKS).values()].map(link => ({
      worker: link.worker,
      shardId: link.shardId,
      leaseMillisLeft: Math.max(0, Math.round(link.grantedUntil - now)),
      leaving: link.leaving,
    })),
    tasks: state.read(TASKS).size,
    teams: [...state.read(TEAM_USAGE).values()],
  };
}
