import type {StreamName} from '@samphireramp/stream-log';
import {createRandom} from '../seededRandom';
import type {ModelSite} from './ModelSite';
import type {ScheduleFaults} from './ScheduleFaults';

/** Share of the stream outages that are of the journal; the others are of its reserve. */
const JOURNAL_SHARE = 0.8;
/** Streams of which one partition is lost by a partition outage. */
const OTHER_STREAMS: readonly StreamName[] = [
  'requests',
  'states',
  'workers',
  'hosts',
  'configuration',
];
/** Marks the key of a partition that is slow. */
const SLOW = 'slow ';
const MIN_OUTAGE_MILLIS = 300;
const MAX_OUTAGE_MILLIS = 6000;

/** Share of the outages of partitions of requests in which they are only slow. */
const SLOW_SHARE = 0.2;

/** Schedules outages of single partitions of the log during a phase. */
export function scheduleStreamOutages(
  site: ModelSite,
  faults: Pick<
    ScheduleFaults,
    'streamOutages' | 'partitionOutages' | 'requestOutages'
  >,
  phaseMillis: number,
  seed: number,
): void {
  const {streamOutages = 0, partitionOutages = 0, requestOutages = 0} = faults;
  const random = createRandom(seed);
  const down = new Map<string, number>();
  const change = (key: string, by: number) =>
    down.set(key, (down.get(key) ?? 0) + by);
  const scheduleOutage = (stream: StreamName, partition: number, kind = '') => {
    const key = `${kind}${stream}/${partition}`;
    const millis =
      MIN_OUTAGE_MILLIS + random() * (MAX_OUTAGE_MILLIS - MIN_OUTAGE_MILLIS);
    site.clock.after(random() * phaseMillis, () => {
      change(key, 1);
      site.clock.after(millis, () => change(key, -1));
    });
  };
  site.log.isStreamDown = (stream, partition) =>
    (down.get(`${stream}/${partition}`) ?? 0) > 0;
  site.log.isStreamSlow = (stream, partition) =>
    (down.get(`${SLOW}${stream}/${partition}`) ?? 0) > 0;
  for (let time = 0; time < streamOutages; time++) {
    scheduleOutage(random() < JOURNAL_SHARE ? 'progress' : 'reserve', 0);
  }
  for (let time = 0; time < partitionOutages; time++) {
    const stream = OTHER_STREAMS[Math.floor(random() * OTHER_STREAMS.length)];
    const partitions = stream === 'requests' ? site.log.partitionCount : 1;
    scheduleOutage(stream, Math.floor(random() * partitions));
  }
  for (let time = 0; time < requestOutages; time++) {
    const partition = Math.floor(random() * site.log.partitionCount);
    scheduleOutage('requests', partition, random() < SLOW_SHARE ? SLOW : '');
  }
}
