/** The interface to the log that everything lasting is kept in. */
export * from './StreamLog';
