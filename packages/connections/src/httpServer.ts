import {getRequestListener} from '@hono/node-server';
import {createServer} from 'node:http';
import type {Server} from 'node:net';
import {listen} from './listen';
import {PacedConnection} from './PacedConnection';
import type {TurnQueue} from './turnQueue';

/**
 * Time without traffic after which a connection closes. Longer than most clients
 * keep one, so that it does not close just as a request arrives.
 */
const IDLE_MILLIS = 65_000;

/** Answers HTTP requests. */
export type FetchCallback = Parameters<typeof getRequestListener>[0];

/** Options of `startHttpServer`. */
export interface HttpServerOptions {
  /** HOST:PORT. */
  readonly address: string;
  /** Turns of the input of all connections of the host. */
  readonly turns: TurnQueue;
  /** Answers a request. */
  readonly fetch: FetchCallback;
}

/** Starts an HTTP server whose connections take turns. */
export function startHttpServer({
  address,
  turns,
  fetch,
}: HttpServerOptions): Server {
  // It has no port of its own: it is handed paced connections.
  const http = createServer(getRequestListener(fetch));
  http.keepAliveTimeout = IDLE_MILLIS;
  http.timeout = IDLE_MILLIS;
  return listen(address, socket =>
    http.emit('connection', new PacedConnection(socket, turns)),
  );
}
