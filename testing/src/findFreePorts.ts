import {createServer} from 'node:net';

/** Start of the port ranges, which all lie below the system's ephemeral ports. */
const FIRST_PORT = 20_000;
/** Size of the range from which a process takes its ports. */
const PORTS_PER_PROCESS = 100;
/**
 * Number of ranges. A process id determines the range, so that test processes
 * that run at the same time rarely try the same ports.
 */
const PORT_RANGES = 100;

/** Index of the next port to try in the range; it wraps around. */
let nextIndex = 0;

/**
 * Finds free loopback ports. Successive calls return different ports until the
 * range of this process is used up.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const firstPort =
    FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS;
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count; attempts++) {
    if (attempts > PORTS_PER_PROCESS) {
      throw new Error(
        `found fewer than ${count} free ports from port ${firstPort} on`,
      );
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
