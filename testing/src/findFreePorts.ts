import {createServer} from 'node:net';

/** Lies below the ephemeral port range of the operating system. */
const FIRST_PORT = 20_000;
/** Each process has a range of its own, so that processes don't collide. */
const PORTS_PER_PROCESS = 100;
const PORT_RANGES = 100;

let nextIndex = 0;

/** Finds free loopback ports; successive calls return different ones. */
export async function findFreePorts(count: number): Promise<number[]> {
  const firstPort =
    FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS;
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count; attempts++) {
    if (attempts > PORTS_PER_PROCESS) {
      throw new Error(`fewer than ${count} free ports from ${firstPort}`);
    }
    const port = firstPort + (nextIndex++ % PORTS_PER_PROCESS);
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
