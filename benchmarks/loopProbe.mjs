/* global performance, setInterval */
import {appendFileSync} from 'node:fs';
import {join} from 'node:path';

/**
 * Preloaded into a host: whenever the event loop was blocked, appends a line to a
 * file of the folder LOOP_PROBE_FOLDER, whose name is the process id. It has a time
 * in milliseconds since 1970, how long the block lasted, and how much processor
 * time it took: less than its duration if the process had to wait for a processor.
 */

const INTERVAL_MILLIS = 5;
const MIN_BLOCK_MILLIS = 20;
const MICROS_PER_MILLI = 1000;

function cpuMillis() {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROS_PER_MILLI;
}

let lastAt = performance.now();
let lastCpuMillis = cpuMillis();
setInterval(() => {
  const now = performance.now();
  const blockedMillis = now - lastAt - INTERVAL_MILLIS;
  const usedMillis = cpuMillis() - lastCpuMillis;
  lastAt = now;
  lastCpuMillis += usedMillis;
  if (blockedMillis >= MIN_BLOCK_MILLIS) {
    const file = join(process.env.LOOP_PROBE_FOLDER, String(process.pid));
    const fields = [Date.now(), blockedMillis, usedMillis].map(Math.round);
    appendFileSync(file, `${fields.join(' ')}\n`);
  }
}, INTERVAL_MILLIS).unref();
