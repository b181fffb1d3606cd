import type {StreamName} from '@samphireramp/stream-log';
import {createRandom} from '../seededRandom';
import type {ModelSite} from './ModelSite';

/** Share of the outages that are of the journal; the others are of its reserve. */
const JOURNAL_SHARE = 0.8;
const MIN_OUTAGE_MILLIS = 300;
const MAX_OUTAGE_MILLIS = 6000;

/** Schedules outages of the journal or of its reserve alone during a phase. */
export function scheduleStreamOutages(
  site: ModelSite,
  times: number,
  phaseMillis: number,
  seed: number,
): void {
  const random = createRandom(seed);
  const down = new Map<StreamName, number>();
  const count = (stream: StreamName) => down.get(stream) ?? 0;
  site.log.isStreamDown = stream => count(stream) > 0;
  for (let time = 0; time < times; time++) {
    const stream = random() < JOURNAL_SHARE ? 'progress' : 'reserve';
    const millis =
      MIN_OUTAGE_MILLIS + random() * (MAX_OUTAGE_MILLIS - MIN_OUTAGE_MILLIS);
    site.clock.after(random() * phaseMillis, () => {
      down.set(stream, count(stream) + 1);
      site.clock.after(millis, () => down.set(stream, count(stream) - 1));
    });
  }
}
