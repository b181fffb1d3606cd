/** Schemas and types of jobs, their progress and queues. */
export * from './Job';
export * from './Progress';
export * from './Queue';
