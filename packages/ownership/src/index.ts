/** Leases of workers and of shards: who may command what, and until when. */
export {orderDeadline} from './exchangeRequest';
export {
  CLOCK_DRIFT_BOUND,
  earliestHostTime,
  lowestWorkerClock,
  surelyAfter,
  surelyWithin,
  type ClockReading,
} from './leaseTiming';
export {
  EXCHANGE,
  INVENTORY_LEARNT,
  LEASE_TICK,
  RELEASE_SHARDS,
  SEND_ORDERS,
  SHARD_HELD,
  SHARD_LOST,
  WORKER_ANSWERED,
  WORKER_SILENT,
  type InventoryNews,
  type WorkerOrders,
} from './messages';
export {createOwnershipPlugin, type OwnershipOptions} from './ownershipPlugin';
export {
  layOutShards,
  shardCount,
  shardIdOf,
  zoneOfShard,
  type ShardLayout,
} from './shardLayout';
export {
  SHARDS,
  WORKER_LINKS,
  heldShards,
  holdsShard,
  isCommandable,
  majorityUntil,
  shardValidUntil,
  type Shard,
  type WorkerLink,
} from './ShardState';
