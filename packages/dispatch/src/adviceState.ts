import {type Update, createTableSlice} from '@samphireramp/kernel';
import {WORKERS} from '@samphireramp/fleet';
import {type StepId, stepKey} from '@samphireramp/jobs';

/** A permit that the adviser gave for one worker to run a step. */
export interface CachedPermit {
  readonly ticket: string;
  /** When the ticket expires; 0 once a worker has refused it. */
  readonly validUntil: number;
}

/** Advice received so far on the workers for a step, and its open request. */
export interface StepAdvice {
  /** By worker id; none if it may not run the step or wasn't asked about. */
  readonly permits: ReadonlyMap<string, CachedPermit>;
  /** Ids of the workers named in answered requests, permitted or not. */
  readonly queriedWorkers: ReadonlySet<string>;
  /** Id of the request without an answer, if there is one. */
  readonly openRequestId: string | undefined;
  /** No run of the step is started before this time. */
  readonly notBefore: number;
}

/** The advice of a step for which no request was made. */
export const NO_ADVICE: StepAdvice = {
  permits: new Map(),
  queriedWorkers: new Set(),
  openRequestId: undefined,
  notBefore: 0,
};

/** Advice by step key. */
export const ADVICE = createTableSlice<StepAdvice>('advice');

/** Marks a ticket as expired after a worker refused it; the permit stays. */
export function invalidateTicket(
  update: Update,
  stepId: StepId,
  incarnation: string,
): void {
  const key = stepKey(stepId);
  const advice = update.read(ADVICE).get(key);
  const id = update.read(WORKERS).get(incarnation)?.id;
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

/** Keeps a step from being placed for some time. */
export function delayStep(
  update: Update,
  stepId: StepId,
  millis: number,
): void {
  const key = stepKey(stepId);
  const advice = update.read(ADVICE).get(key) ?? NO_ADVICE;
  const notBefore = update.now + millis;
  update.write(ADVICE).set(key, {...advice, notBefore});
}

/** Deletes the advice on all steps of a job. */
export function deleteAdviceOfJob(update: Update, jobId: string): void {
  const advice = update.write(ADVICE);
  for (const key of [...advice.keys()]) {
    if (key.startsWith(`${jobId}.`)) {
      advice.delete(key);
    }
  }
}
