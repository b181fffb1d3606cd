/** Schemas and types of jobs, their progress and queues. */
export * from './ClientAccount';
export * from './Job';
export * from './Progress';
export * from './Queue';
export * from './Resources';
