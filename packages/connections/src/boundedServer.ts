import {type Server, type Socket, createServer} from 'node:net';
import type {ConnectionLimits} from './connectionLimits';
import {ConnectionTable} from './ConnectionTable';

/**
 * Listens at HOST:PORT with a bounded number of connections: at the limit, a new
 * connection replaces the oldest.
 */
export function startBoundedServer(
  address: string,
  limits: ConnectionLimits,
  onConnection: (socket: Socket) => void,
): Server {
  const table = new ConnectionTable<Socket>({
    ...limits,
    close: socket => socket.destroy(),
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
