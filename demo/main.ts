import {
  type CallerAnswer,
  callEntry,
  startSite,
  waitFor,
  type Site,
} from '@samphireramp/testing';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

const PATIENCE_MILLIS = 30_000;

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function show(what: string, {status, body}: CallerAnswer): void {
  say(`${what}: ${status} ${JSON.stringify(body)}`);
}

/** Follows a job until it has ended. */
async function follow(site: Site, key: string): Promise<string> {
  const address = site.hosts[site.hosts.length - 1].callerAddress;
  let state = '';
  await waitFor(async () => {
    const path = `/v1/jobs/${encodeURIComponent(key)}`;
    const {body} = await callEntry(address, 'GET', path);
    const status = body['status'] as {state: string; tasks: unknown};
    if (status.state !== state) {
      state = status.state;
      say(`  job ${key}: ${state} ${JSON.stringify(status.tasks)}`);
    }
    return state !== 'queued' && state !== 'running';
  }, PATIENCE_MILLIS);
  return state;
}

async function runJob(
  site: Site,
  workload: string,
  member: string,
  tasks: number,
): Promise<string> {
  const address = site.hosts[0].callerAddress;
  const request = {workload, member, tasks, input: {runMillis: 800}};
  const answer = await callEntry(address, 'POST', '/v1/jobs', request);
  show(`${workload} of ${tasks} tasks`, answer);
  const status = answer.body['status'] as {key: string};
  return follow(site, status.key);
}

/** Serves every kind of work over a site of two zones, then stops it. */
async function main(): Promise<boolean> {
  const site = await startSite({
    zones: ['tema', 'osu'],
    hostsInZone: 2,
    workersInZone: 3,
    programs: dirname(fileURLToPath(import.meta.url)),
  });
  try {
    const parts = `${site.hosts.length} entry hosts, ${site.workers.length} workers, a log and a host list`;
    say(`started ${parts}, each a process of its own`);
    const applied = await site.command(
      'apply',
      site.declarationFile,
      `--log-url=${site.logUrl}`,
      '--author=demo',
      ...site.hosts.map(host => `--host=${host.statusAddress}`),
    );
    say(`apply: ${applied.errors.trim()}; ${applied.output.trim()}`);
    const request = {workload: 'slot-check', member: 'till', input: {slot: 7}};
    const answers: CallerAnswer[] = [];
    for (const host of site.hosts) {
      const path = '/v1/requests';
      const answer = await callEntry(host.callerAddress, 'POST', path, request);
      show(`slot check at ${host.name}`, answer);
      answers.push(answer);
    }
    const batch = await runJob(site, 'reconciliation', 'desk', 4);
    const atOnce = await runJob(site, 'route-plan', 'planner', 3);
    const wrong = await callEntry(
      site.hosts[0].callerAddress,
      'POST',
      '/v1/requests',
      {workload: 7},
    );
    show('a wrong request', wrong);
    const [first] = site.hosts;
    first.process.kill('SIGTERM');
    const status = await first.ended;
    say(`${first.name} was told to stop and ended with status ${status}`);
    return (
      applied.status === 0 &&
      answers.every(answer => answer.status === 200) &&
      batch === 'succeeded' &&
      atOnce === 'succeeded' &&
      wrong.status === 400 &&
      status === 0
    );
  } finally {
    await site.stop();
  }
}

const isGood = await main();
say(isGood ? 'the demo went well' : 'the demo went wrong');
process.exitCode = isGood ? 0 : 1;
