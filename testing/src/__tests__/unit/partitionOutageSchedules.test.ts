import t from 'tap';
import type {StreamName} from '@samphireramp/stream-log';
import {type ModelSite, PARTITION_FAULTS, runSiteSchedule} from '../../site';
import {checkSchedules} from './checkSchedule';

const FIRST_SEED = 790_001;

void t.test(
  'no invariant breaks while single partitions of the log are out of reach',
  t => checkSchedules(t, PARTITION_FAULTS, {firstSeed: FIRST_SEED, count: 8}),
);

/** Lets a partition of requests that is out of reach look empty in place of failing. */
function emptyLostPartitions({log}: ModelSite): void {
  let isDown = log.isStreamDown;
  const records = log.records.bind(log);
  const isEmptied = (stream: StreamName, partition: number) =>
    stream === 'requests' && isDown(stream, partition);
  log.records = (stream, partition) =>
    isEmptied(stream, partition) ? [] : records(stream, partition);
  Object.defineProperty(log, 'isStreamDown', {
    set: (value: typeof isDown) => {
      isDown = value;
    },
    get: () => (stream: StreamName, partition: number) =>
      stream !== 'requests' && isDown(stream, partition),
  });
}

void t.test(
  'a log in which a lost partition looks empty is detected',
  async t => {
    let findings = 0;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + 2; seed++) {
      const report = await runSiteSchedule(
        seed,
        PARTITION_FAULTS,
        emptyLostPartitions,
      );
      findings += report.violations.length + report.unfinished.length;
    }
    t.ok(findings > 0, `${findings} findings`);
  },
);
