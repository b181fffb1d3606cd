import {createValueSlice} from '@samphireramp/kernel';
import type {Resources} from '@samphireramp/jobs';

/** Resources that a pass kept free on one worker for a gang that waits. */
export interface Reservation {
  /** Key of the step. */
  readonly step: string;
  /** Incarnation of the worker. */
  readonly incarnation: string;
  /** Tasks of the gang that have room there now. */
  readonly tasks: number;
  /** Resources of each of the tasks. */
  readonly taskResources: Resources;
  /** When the first of the passes began that have kept resources for the step since. */
  readonly since: number;
  /** When the gang is expected to fit; it may be past if the gang lacks tickets only. */
  readonly until: number;
}

/** The reservations of the last placement pass, the most urgent steps first. */
export const RESERVATIONS = createValueSlice<readonly Reservation[]>(
  'reservations',
  [],
);

/** Maximum steps that a description of reservations names. */
const MAX_NAMED_STEPS = 3;

/** Since when each step has reservations, by step key. */
export function listReservedSince(
  reservations: readonly Reservation[],
): ReadonlyMap<string, number> {
  return new Map(reservations.map(({step, since}) => [step, since]));
}

/**
 * Describes for which steps resources are reserved, since when and until when, as in
 * ` for JOB.0.0 (since 2100 ms, for 900 ms more)`; empty if there are none.
 */
export function describeReservedSteps(
  reservations: readonly Reservation[],
  now: number,
): string {
  const byStep = new Map(reservations.map(each => [each.step, each]));
  return [...byStep.values()]
    .slice(0, MAX_NAMED_STEPS)
    .map(({step, since, until}) => {
      const sinceMillis = Math.round(now - since);
      const moreMillis = Math.max(0, Math.round(until - now));
      return ` for ${step} (since ${sinceMillis} ms, for ${moreMillis} ms more)`;
    })
    .join(' and');
}

/** Counts the tasks for which reservations hold resources. */
export function countReservedTasks(
  reservations: readonly Reservation[],
): number {
  return reservations.reduce((sum, {tasks}) => sum + tasks, 0);
}
