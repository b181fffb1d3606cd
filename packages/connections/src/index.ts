/** Servers that bound what callers' connections take of a host. */
export {type BodyOutcome, readBody} from './readBody';
