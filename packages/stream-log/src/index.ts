/** The interface to the log in which all durable state is kept. */
export * from './StreamLog';
