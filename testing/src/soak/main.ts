import yargs from 'yargs';
import {runSoak} from './runSoak';

/** Runs the soak once per seed: `npm run soak -- --runs=50 --from=1000`. */
const argv = await yargs(process.argv.slice(2))
  .option('from', {type: 'number', default: 1, description: 'first seed'})
  .option('runs', {
    type: 'number',
    default: 10,
    description: 'number of seeds to run',
  })
  .option('storm-millis', {type: 'number', default: 12_000})
  .option('fault-every-millis', {type: 'number', default: 700})
  .option('jobs', {type: 'number', default: 40})
  .option('log-folder', {
    type: 'string',
    description: 'folder for the logs of runs with findings',
  })
  .strict()
  .parseAsync();

let failedRuns = 0;
for (let seed = argv.from; seed < argv.from + argv.runs; seed++) {
  const {findings, accepted, faults} = await runSoak({
    seed,
    program: 'dist/samphireramp-site.mjs',
    faultPhaseMillis: argv.stormMillis,
    meanFaultIntervalMillis: argv.faultEveryMillis,
    jobCount: argv.jobs,
    logFolder: argv.logFolder,
  });
  failedRuns += findings.length > 0 ? 1 : 0;
  const outcome = findings.length === 0 ? 'ok' : findings.join('; ');
  process.stdout.write(
    `seed=${seed} faults=${faults.length} accepted=${accepted} ${outcome}\n`,
  );
}
process.stdout.write(
  `${argv.runs - failedRuns} runs passed, ${failedRuns} failed\n`,
);
process.exitCode = failedRuns === 0 ? 0 : 1;
