/** Schemas of jobs, tasks and queues, and what follows from them. */
export * from './Job';
export * from './Progress';
export * from './Queue';
