import {createServer} from 'node:net';

/** Finds ports of loopback that nobody listens on now. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({length: count}, listen));
  const ports = servers.map(({port}) => port);
  await Promise.all(servers.map(({close}) => close()));
  return ports;
}

interface Listener {
  readonly port: number;
  readonly close: () => Promise<void>;
}

function listen(): Promise<Listener> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
      const close = () =>
        new Promise<void>(done => {
          server.close(() => done());
        });
      resolve({port, close});
    });
  });
}
