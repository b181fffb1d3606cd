import {type Server, type Socket, createServer} from 'node:net';
import type {ConnectionLimits} from './connectionLimits';
import {type CloseReason, ConnectionTable} from './ConnectionTable';

/** Options of `startBoundedServer`. */
export interface BoundedServerOptions {
  /** HOST:PORT. */
  readonly address: string;
  readonly limits: ConnectionLimits;
  /** Called with each connection that is closed to keep a limit. */
  readonly onClosed: (reason: CloseReason) => void;
  readonly onConnection: (socket: Socket) => void;
}

/**
 * Starts a server with a bounded number of connections: at the limit, a new one
 * replaces the oldest.
 */
export function startBoundedServer({
  address,
  limits,
  onClosed,
  onConnection,
}: BoundedServerOptions): Server {
  const table = new ConnectionTable<Socket>({
    ...limits,
    close: (socket, reason) => {
      onClosed(reason);
      socket.destroy();
    },
  });
  return listen(address, {allowHalfOpen: false}, socket => {
    table.add(socket);
    socket.once('close', () => table.remove(socket));
    onConnection(socket);
  });
}

/** Listens at HOST:PORT. */
export function listen(
  address: string,
  /** Whether a connection stays open for answers once the client has ended it. */
  {allowHalfOpen}: {readonly allowHalfOpen: boolean},
  onConnection: (socket: Socket) => void,
): Server {
  const server = createServer({allowHalfOpen, noDelay: true}, onConnection);
  const colon = address.lastIndexOf(':');
  server.listen(Number(address.slice(colon + 1)), address.slice(0, colon));
  return server;
}
