import {type Server, type Socket, connect, createServer} from 'node:net';

/**
 * How a link treats bytes: `open` passes them on, `slow` later; `refuses`
 * resets each new connection; `deaf` drops what callers send, `mute` what
 * comes back. A connection that lost bytes stays so until it is closed.
 */
export type LinkMode = 'open' | 'slow' | 'refuses' | 'deaf' | 'mute';

/** A loopback address whose connections lead to another, and may be harmed. */
export interface Link {
  readonly address: string;
  mode: LinkMode;
  /** Resets all connections. */
  reset(): void;
  close(): void;
}

const HOST = '127.0.0.1';
const SLOW_MILLIS = 150;

/** Starts a link to HOST:PORT. */
export async function startLink(target: string): Promise<Link> {
  const [host, port] = target.split(':');
  const sockets = new Set<Socket>();
  let mode: LinkMode = 'open';

  function keep(socket: Socket): void {
    sockets.add(socket);
    socket.setNoDelay(true);
    // What ends one half ends the other; errors are what is being tested.
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  }

  function carry(from: Socket, to: Socket, losing: LinkMode): void {
    let isLost = false;
    let before = Promise.resolve();
    from.on('data', chunk => {
      isLost ||= mode === losing;
      if (isLost) {
        return;
      }
      const delay = mode === 'slow' ? SLOW_MILLIS : 0;
      before = before.then(() => pause(delay)).then(() => void to.write(chunk));
    });
    from.on('end', () => void before.then(() => isLost || to.end()));
    from.on('close', () => void before.then(() => isLost || to.destroy()));
  }

  const server = createServer({allowHalfOpen: true}, caller => {
    keep(caller);
    if (mode === 'refuses') {
      caller.resetAndDestroy();
      return;
    }
    const callee = connect({host, port: Number(port), allowHalfOpen: true});
    keep(callee);
    callee.on('error', () => caller.resetAndDestroy());
    carry(caller, callee, 'deaf');
    carry(callee, caller, 'mute');
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

async function pause(millis: number): Promise<void> {
  if (millis > 0) {
    await new Promise(resolve => {
      setTimeout(resolve, millis);
    });
  }
}

function listen(server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(0, HOST, () => {
      const address = server.address();
      const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
      resolve(`${HOST}:${port}`);
    });
  });
}
