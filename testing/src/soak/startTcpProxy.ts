import {type Server, type Socket, connect, createServer} from 'node:net';

/**
 * How a proxy treats traffic: `open` forwards it, `slow` forwards it with a
 * delay, `resets` resets each new connection, `dropsSent` drops what clients
 * send and `dropsReceived` what they would receive. Once a connection has
 * dropped bytes in one direction, it forwards none there until it is closed.
 */
export type ProxyMode =
  'open' | 'slow' | 'resets' | 'dropsSent' | 'dropsReceived';

/** A TCP proxy on loopback that can inject network faults. */
export interface TcpProxy {
  /** HOST:PORT that it listens on. */
  readonly address: string;
  /** Applies to open connections too, except for `resets`. */
  mode: ProxyMode;
  /** Resets all open connections. */
  reset(): void;
  close(): void;
}

const LOOPBACK_ADDRESS = '127.0.0.1';
/** Delay of each chunk in mode `slow`; the next chunk waits until it is sent. */
const SLOW_DELAY_MILLIS = 150;

/** Starts a proxy that forwards to HOST:PORT. */
export async function startTcpProxy(target: string): Promise<TcpProxy> {
  const [host, port] = target.split(':');
  const sockets = new Set<Socket>();
  let mode: ProxyMode = 'open';

  function trackSocket(socket: Socket): void {
    sockets.add(socket);
    socket.setNoDelay(true);
    // Errors are expected; the handlers in forward() close the other side.
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  }

  function forward(from: Socket, to: Socket, droppingMode: ProxyMode): void {
    let isDropping = false;
    let pendingWrites = Promise.resolve();
    from.on('data', chunk => {
      isDropping ||= mode === droppingMode;
      if (isDropping) {
        return;
      }
      const delayMillis = mode === 'slow' ? SLOW_DELAY_MILLIS : 0;
      pendingWrites = pendingWrites
        .then(() => sleep(delayMillis))
        .then(() => void to.write(chunk));
    });
    from.on('end', () => void pendingWrites.then(() => isDropping || to.end()));
    from.on(
      'close',
      () => void pendingWrites.then(() => isDropping || to.destroy()),
    );
  }

  const server = createServer({allowHalfOpen: true}, client => {
    trackSocket(client);
    if (mode === 'resets') {
      client.resetAndDestroy();
      return;
    }
    const upstream = connect({host, port: Number(port), allowHalfOpen: true});
    trackSocket(upstream);
    upstream.on('error', () => client.resetAndDestroy());
    forward(client, upstream, 'dropsSent');
    forward(upstream, client, 'dropsReceived');
  });
  const address = await listen(server);
  return {
    address,
    get mode() {
      return mode;
    },
    set mode(next) {
      mode = next;
    },
    reset: () => sockets.forEach(socket => socket.resetAndDestroy()),
    close: () => {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
}

async function sleep(millis: number): Promise<void> {
  if (millis > 0) {
    await new Promise(resolve => {
      setTimeout(resolve, millis);
    });
  }
}

function listen(server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(0, LOOPBACK_ADDRESS, () => {
      const address = server.address();
      const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
      resolve(`${LOOPBACK_ADDRESS}:${port}`);
    });
  });
}
