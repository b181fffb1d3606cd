import type {Timeline} from '../EventQueue';

/** First readings of clocks, from a new clock to nearly the largest exact one. */
const FIRST_READINGS_MILLIS = [
  0,
  6_500_000,
  400_000,
  Number.MAX_SAFE_INTEGER - 1_000_000_000,
  2000,
  86_400_000,
  30_000,
  12_000_000,
];

/** Simulates the monotonic clock of a worker, which begins anywhere in each life. */
export class ModelClock {
  private life = 0;
  private firstMillis: number;
  private startedAt: number;

  constructor(
    private readonly workerId: string,
    /** Speed relative to the timeline: 0.98 to 1.02. */
    private readonly rate: number,
    private readonly timeline: Timeline,
  ) {
    this.firstMillis = firstReading(workerId, 0);
    this.startedAt = timeline.now;
  }

  /** Returns its time in milliseconds. */
  read(): number {
    return this.firstMillis + (this.timeline.now - this.startedAt) * this.rate;
  }

  /** Begins the clock of the next life, ahead of the one before or behind it. */
  restart(firstMillis = firstReading(this.workerId, this.life + 1)): void {
    this.life++;
    this.firstMillis = firstMillis;
    this.startedAt = this.timeline.now;
  }
}

/** Returns a first reading that depends only on the worker and its life. */
function firstReading(workerId: string, life: number): number {
  let index = 3 * life;
  for (const character of workerId) {
    index += character.charCodeAt(0);
  }
  return FIRST_READINGS_MILLIS[index % FIRST_READINGS_MILLIS.length];
}
