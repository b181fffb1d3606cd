/** Interface to the log, which keeps all durable state. */
export * from './StreamLog';
