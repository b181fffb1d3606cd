import {type Server, type Socket, createServer} from 'node:net';

/** Listens at HOST:PORT. */
export function listen(
  address: string,
  onConnection: (socket: Socket) => void,
): Server {
  const server = createServer(
    {allowHalfOpen: true, noDelay: true},
    onConnection,
  );
  const colon = address.lastIndexOf(':');
  server.listen(Number(address.slice(colon + 1)), address.slice(0, colon));
  return server;
}
