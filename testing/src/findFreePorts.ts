import {createServer} from 'node:net';

/** Below the ports that the system gives to calls and to listeners on port 0. */
const FIRST_PORT = 20_000;
/** Ports of one process: the next has others, so that none takes them. */
const PORTS_OF_PROCESS = 100;
const PROCESSES = 100;

let next = 0;

/** Finds ports of loopback that nobody listens on now, each time others. */
export async function findFreePorts(count: number): Promise<number[]> {
  const first = FIRST_PORT + (process.pid % PROCESSES) * PORTS_OF_PROCESS;
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > PORTS_OF_PROCESS) {
      throw new Error(`no ${count} free ports from ${first} on`);
    }
    const port = first + (next++ % PORTS_OF_PROCESS);
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
