import {type Update, createTableSlice} from '@samphireramp/kernel';
import {WORKERS} from '@samphireramp/fleet';
import {type StepId, stepKey} from '@samphireramp/jobs';

/** What is known of a worker for a step: it may run it, until when proven. */
export interface HeldPermit {
  readonly ticket: string;
  /** When the ticket is of no use any more; 0 once it was refused. */
  readonly validUntil: number;
}

/** What is known of who may run a step. */
export interface StepAdvice {
  /** By worker id; absent if it may not or nobody asked. */
  readonly permits: ReadonlyMap<string, HeldPermit>;
  /** Worker ids that were asked about. */
  readonly judged: ReadonlySet<string>;
  /** The call that is under way. */
  readonly openAsk: string | undefined;
  /** No new run of the step before this. */
  readonly notBefore: number;
}

/** Nothing is known. */
export const NO_ADVICE: StepAdvice = {
  permits: new Map(),
  judged: new Set(),
  openAsk: undefined,
  notBefore: 0,
};

/** Advice by step. */
export const ADVICE = createTableSlice<StepAdvice>('advice');

/** Forgets a ticket that a worker refused. */
export function dropTicket(update: Update, place: StepId, life: string): void {
  const key = stepKey(place);
  const advice = update.read(ADVICE).get(key);
  const id = update.read(WORKERS).get(life)?.id;
  if (advice === undefined || id === undefined) {
    return;
  }
  const permit = advice.permits.get(id);
  if (permit !== undefined) {
    const permits = new Map(advice.permits);
    permits.set(id, {...permit, validUntil: 0});
    update.write(ADVICE).set(key, {...advice, permits});
  }
}

/** Keeps a step from being tried for a time. */
export function holdOff(update: Update, place: StepId, millis: number): void {
  const key = stepKey(place);
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  const notBefore = update.now + millis;
  update.write(ADVICE).set(key, {...advice, notBefore});
}

/** Forgets advice on the steps of jobs that are over. */
export function dropAdvice(update: Update, jobId: string): void {
  const advice = update.write(ADVICE);
  for (const key of [...advice.keys()]) {
    if (key.startsWith(`${jobId}.`)) {
      advice.delete(key);
    }
  }
}
