import {
  createConfigurationPlugin,
  revisionInForce,
} from '@samphireramp/configuration';
import {createJournalPlugin} from '@samphireramp/journal';
import type {Plugin, StateReader} from '@samphireramp/kernel';
import {
  type OwnIdentity,
  createMembershipPlugin,
  holderOf,
  preferredHosts,
} from '@samphireramp/membership';
import type {ListedHost} from '@samphireramp/model';
import {createOwnershipPlugin, heldShards} from '@samphireramp/ownership';
import type {WorkerChooser} from '@samphireramp/placement';
import {createRoutingPlugin} from '@samphireramp/routing';
import {
  type SchedulingPolicies,
  createSchedulingPlugin,
} from '@samphireramp/scheduling';

/** What differs between entry hosts, tests and benchmarks. */
export interface DecisionOptions {
  readonly self: OwnIdentity;
  /** Peers that are known before the host list is read. */
  readonly seeds: readonly ListedHost[];
  /** How long the log keeps records. */
  readonly retentionMillis: number;
  /** Monotonic milliseconds at which this run began. */
  readonly startedAt: number;
  readonly policies: SchedulingPolicies;
  readonly choose: WorkerChooser;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
  /** Draws from [0, 1). */
  readonly random: () => number;
  /** Makes text that no other call has. */
  readonly unique: () => string;
}

/** Every plug-in that decides; transports come besides. */
export function createDecisionPlugins(options: DecisionOptions): Plugin[] {
  const {self, random} = options;
  return [
    createMembershipPlugin({
      self,
      seeds: options.seeds,
      ownStatus: (state, now) => ({
        holding: heldShards(state, now),
        revision: revisionInForce(state)?.revision ?? 0,
      }),
    }),
    createConfigurationPlugin({self}),
    createOwnershipPlugin({
      holder: self.incarnation,
      zone: self.zone,
      seeks: (state, shardId, now) => isFirstChoice(state, self, shardId, now),
      yields: () => false,
      random,
    }),
    createJournalPlugin(options),
    createSchedulingPlugin(options),
    createRoutingPlugin(options),
  ];
}

/** Whether a shard that nobody else holds belongs to this host first. */
function isFirstChoice(
  state: StateReader,
  self: OwnIdentity,
  shardId: string,
  now: number,
): boolean {
  const [first] = preferredHosts(state, self.zone, shardId, now);
  const holder = holderOf(state, shardId, now);
  const isFree = holder === undefined || holder.name === self.name;
  return isFree && first?.name === self.name;
}
