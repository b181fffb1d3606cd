import {
  type Site,
  callEntry,
  readHostStatus,
  startSite,
  waitFor,
} from '@samphireramp/testing';

/**
 * Time from the end of a holder to the next answer of its zone, for a request
 * that may repeat and for a job. Run with `npm run bench:takeover`.
 */

const RUNS = 5;
const PATIENCE_MILLIS = 60_000;
const SLOT_CHECK = {workload: 'slot-check', member: 'till'};
const JOB = {workload: 'reconciliation', member: 'till'};

async function findHolder(site: Site) {
  for (const host of site.hosts) {
    const page = await readHostStatus(host.statusAddress);
    if ((page['holding'] as string[]).length > 0) {
      return host;
    }
  }
  return undefined;
}

/** Asks until one call is answered as wanted; returns the milliseconds. */
async function timeToAnswer(
  address: string,
  path: string,
  body: object,
  startedAt: number,
): Promise<number> {
  await waitFor(async () => {
    const {status} = await callEntry(address, 'POST', path, body);
    return status === 200;
  }, PATIENCE_MILLIS);
  return Math.round(performance.now() - startedAt);
}

async function measure(run: number): Promise<void> {
  const site = await startSite({
    zones: ['tema'],
    hostsInZone: 3,
    workersInZone: 5,
    programs: 'dist',
  });
  try {
    await site.command(
      'apply',
      site.declarationFile,
      `--log-url=${site.logUrl}`,
      ...site.hosts.map(host => `--host=${host.statusAddress}`),
    );
    await waitFor(
      async () => (await findHolder(site)) !== undefined,
      PATIENCE_MILLIS,
    );
    await waitFor(() => false, 3000);
    const holder = await findHolder(site);
    const other = site.hosts.find(host => host !== holder);
    const address = other?.callerAddress ?? '';
    holder?.process.kill('SIGKILL');
    const startedAt = performance.now();
    const [request, job] = await Promise.all([
      timeToAnswer(address, '/v1/requests', SLOT_CHECK, startedAt),
      timeToAnswer(address, '/v1/jobs', JOB, startedAt),
    ]);
    process.stdout.write(
      `run=${run} request_millis=${request} job_millis=${job}\n`,
    );
  } finally {
    await site.stop();
  }
}

for (let run = 1; run <= RUNS; run++) {
  await measure(run);
}
