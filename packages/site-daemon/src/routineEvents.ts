/**
 * Events of the usual course of jobs, runs and workers, of which there are many.
 * Several that occur at about the same time share a log line. Any other event has
 * a line of its own while the rate of lines allows it.
 */
const ROUTINE_EVENTS: ReadonlySet<string> = new Set([
  'call-admitted',
  'submit-accepted',
  'cancel-accepted',
  'job-taken',
  'job-completed',
  'job-cancelled',
  'advised',
  'step-placed',
  'run-ended',
  'run-found',
  'run-stopping',
  'worker-held',
  'worker-listed',
  'connection-closed',
  'requests-forgotten',
]);

/** Whether an event belongs to the usual course of jobs, runs and workers. */
export function isRoutineEvent(name: string): boolean {
  return ROUTINE_EVENTS.has(name);
}
