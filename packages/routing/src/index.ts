/** Where a call belongs, and what becomes of it. */
export {homeZone, mintKey, shardInZone, zonesByDistance} from './callPlace';
export {CALLS, type OpenCall} from './CallState';
export {
  ANSWER_CALLER,
  ANSWER_DROPPED,
  CALL_ARRIVED,
  CALL_NOT_SENT,
  CALL_TICK,
  createRoutingPlugin,
  type RoutingOptions,
} from './routingPlugin';
