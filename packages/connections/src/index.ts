/** Servers that bound what callers' connections take of a host. */
export {
  type ConnectionLimits,
  type HostLimits,
  limitsOfHost,
} from './connectionLimits';
export {
  type CloseReason,
  type ConnectionTableOptions,
  ConnectionTable,
} from './ConnectionTable';
export {type BoundedServerOptions, startBoundedServer} from './boundedServer';
export {type HttpServerOptions, startHttpServer} from './httpServer';
export {type BodyOutcome, readBody} from './readBody';
export {RequestHold, holdRequest} from './RequestHold';
export {
  type TurnQueue,
  type TurnQueueOptions,
  createTurnQueue,
} from './turnQueue';
