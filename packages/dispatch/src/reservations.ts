import {createValueSlice} from '@samphireramp/kernel';
import type {Resources} from '@samphireramp/jobs';

/** Resources that a pass kept free on one worker for a step that waits. */
export interface Reservation {
  /** Key of the step. */
  readonly step: string;
  /** Incarnation of the worker. */
  readonly incarnation: string;
  readonly tasks: number;
  /** Resources of each of the tasks. */
  readonly taskResources: Resources;
}

/** The reservations of the last placement pass, the most urgent steps first. */
export const RESERVATIONS = createValueSlice<readonly Reservation[]>(
  'reservations',
  [],
);

/** Counts the tasks for which reservations hold resources. */
export function countReservedTasks(
  reservations: readonly Reservation[],
): number {
  return reservations.reduce((sum, {tasks}) => sum + tasks, 0);
}
