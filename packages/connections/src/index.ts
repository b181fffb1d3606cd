/** Servers that bound what callers' connections take of a host. */
export {type HttpServerOptions, startHttpServer} from './httpServer';
export {type BodyOutcome, readBody} from './readBody';
export {
  type TurnQueue,
  type TurnQueueOptions,
  createTurnQueue,
} from './turnQueue';
