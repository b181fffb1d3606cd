import t from 'tap';
import {callHost, encodeAnnouncedHead, waitFor} from '../../index';
import {pathOfClient, playCrowd} from './crowdFixture';

const CLIENTS = 100;
const JOBS_PER_CLIENT = 50;
const STEPS = 60;
const JOB = Buffer.from(
  JSON.stringify({
    steps: Array.from({length: STEPS}, () => ({cpu: 100, estimated_ms: 100})),
  }),
);
/** Jobs that were refused of which the states are read. */
const CHECKED_JOBS = 50;
const STATE_MILLIS = 30_000;

/** Path of one of the jobs of a client. */
function pathOfJob(client: number, index: number): string {
  return pathOfClient(client * JOBS_PER_CLIENT + index);
}

function* encodeJobs(client: number): Iterable<Buffer> {
  for (let index = 0; index < JOBS_PER_CLIENT; index++) {
    yield Buffer.concat([
      encodeAnnouncedHead(pathOfJob(client, index), JOB.length),
      JOB,
    ]);
  }
}

/** Paths of the jobs that were refused: answers come in the order of requests. */
function refusedPaths(answers: readonly string[]): string[] {
  return answers.flatMap((answer, client) =>
    [...answer.matchAll(/HTTP\/1\.1 (\d+)/g)].flatMap(([, status], index) =>
      status === '503' ? [pathOfJob(client, index)] : [],
    ),
  );
}

// Guards against requests that were read whole and pile up in memory while the store
// gives no answer; also against a refusal after which the job runs all the same.
void t.test('valid jobs while the store is silent', async t => {
  await playCrowd(t, {
    isStoreSilent: true,
    script: {clients: CLIENTS, reads: true, pieces: encodeJobs},
    check: async ({host}, answers) => {
      const paths = refusedPaths(answers).slice(0, CHECKED_JOBS);
      t.ok(paths.length > 0, 'some are refused');
      for (const path of paths) {
        const isAbsent = async () =>
          (await callHost(host.callerAddress, 'GET', path)).status === 410;
        t.ok(await waitFor(isAbsent, STATE_MILLIS), 'a refused job is unknown');
      }
    },
  });
});
