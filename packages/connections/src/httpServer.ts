import {getRequestListener} from '@hono/node-server';
import {createServer} from 'node:http';
import type {Server} from 'node:net';
import type {ConnectionLimits} from './connectionLimits';
import {listen} from './boundedServer';
import {type CloseReason, ConnectionTable} from './ConnectionTable';
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
  readonly limits: ConnectionLimits;
  /** Turns of the input of all connections of the host. */
  readonly turns: TurnQueue;
  /** Called with each connection that is closed, or refused, to keep a limit. */
  readonly onClosed: (reason: CloseReason) => void;
  /** Answers a request. */
  readonly fetch: FetchCallback;
}

/** Starts an HTTP server that keeps its connections within limits. */
export function startHttpServer({
  address,
  limits,
  turns,
  onClosed,
  fetch,
}: HttpServerOptions): Server {
  const table = new ConnectionTable<PacedConnection>({
    ...limits,
    close: (connection, reason) => {
      onClosed(reason);
      connection.evict(reason);
    },
  });
  // It has no port of its own: it is handed the connections that have room.
  const http = createServer(getRequestListener(fetch));
  http.keepAliveTimeout = IDLE_MILLIS;
  http.timeout = IDLE_MILLIS;
  return listen(address, {allowHalfOpen: true}, socket => {
    const connection = new PacedConnection(socket, {table, turns});
    if (table.add(connection)) {
      http.emit('connection', connection);
    } else {
      onClosed('connections');
      connection.destroy();
    }
  });
}
