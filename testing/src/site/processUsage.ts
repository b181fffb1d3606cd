import {readFileSync, readdirSync, readlinkSync} from 'node:fs';

const BYTES_PER_KILOBYTE = 1024;
/** Interval at which the open sockets of a watched process are counted. */
const SOCKET_COUNT_INTERVAL_MILLIS = 100;

/** Returns the most memory that a process has had resident so far, in bytes. */
export function peakResidentBytes(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kilobytes) * BYTES_PER_KILOBYTE;
}

/** Returns the number of sockets that a process has open; 0 if it has ended. */
export function countOpenSockets(processId: number): number {
  const folder = `/proc/${processId}/fd`;
  let count = 0;
  try {
    for (const descriptor of readdirSync(folder)) {
      if (isSocket(`${folder}/${descriptor}`)) {
        count++;
      }
    }
  } catch {
    // The process has ended.
  }
  return count;
}

function isSocket(descriptorPath: string): boolean {
  try {
    return readlinkSync(descriptorPath).startsWith('socket:');
  } catch {
    // The descriptor was closed meanwhile.
    return false;
  }
}

/** Counts the sockets of a process from time to time. */
export interface SocketWatch {
  /** Most sockets that were open at any count. */
  peak(): number;
  stop(): void;
}

/** Starts to count the open sockets of a process. */
export function watchSockets(processId: number): SocketWatch {
  let peak = 0;
  const count = () => {
    peak = Math.max(peak, countOpenSockets(processId));
  };
  count();
  const timer = setInterval(count, SOCKET_COUNT_INTERVAL_MILLIS);
  return {
    peak: () => peak,
    stop: () => clearInterval(timer),
  };
}
