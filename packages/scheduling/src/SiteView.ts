import type {StateReader} from '@samphireramp/kernel';
import {declarationInForce} from '@samphireramp/configuration';
import {
  type Declaration,
  NO_RESOURCES,
  type PolicyDeclaration,
  type ResourceVector,
  type TeamDeclaration,
  type WorkerDeclaration,
  type WorkloadDeclaration,
  addResources,
  toQuotaVector,
  toResourceVector,
} from '@samphireramp/model';
import {layOutShards, zoneOfShard} from '@samphireramp/ownership';

/** Look-ups over one declaration, built once for each revision. */
export interface SiteView {
  readonly declaration: Declaration;
  readonly workloads: ReadonlyMap<string, WorkloadDeclaration>;
  readonly policies: ReadonlyMap<string, PolicyDeclaration>;
  readonly teams: ReadonlyMap<string, TeamDeclaration>;
  readonly teamByMember: ReadonlyMap<string, string>;
  readonly needs: ReadonlyMap<string, ResourceVector>;
  shardCapacity(shardId: string): ShardCapacity;
}

/** What a shard has, and the part of the site that it is. */
export interface ShardCapacity {
  readonly workers: readonly WorkerDeclaration[];
  readonly total: ResourceVector;
  /** Part of the site's capacity, for each kind of resource. */
  readonly partOfSite: readonly number[];
}

const views = new WeakMap<Declaration, SiteView>();

/** The view of the declaration in force; undefined before the first. */
export function siteView(state: StateReader): SiteView | undefined {
  const declaration = declarationInForce(state);
  if (declaration === undefined) {
    return undefined;
  }
  const view = views.get(declaration) ?? buildView(declaration);
  views.set(declaration, view);
  return view;
}

/** What a worker has for us: its capacity less the older scheduler's. */
export function ownCapacity(worker: WorkerDeclaration): ResourceVector {
  const all = toResourceVector(worker.capacity);
  return worker.olderScheduler === undefined
    ? all
    : addResources(all, toResourceVector(worker.olderScheduler), -1);
}

/** The team of a member. */
export function teamOf(view: SiteView, member: string): string | undefined {
  return view.teamByMember.get(member);
}

function buildView(declaration: Declaration): SiteView {
  const capacities = new Map<string, ShardCapacity>();
  const siteTotal = totalOf(declaration.workers);
  const teamByMember = new Map(
    declaration.teams.flatMap(team =>
      team.members.map(member => [member.name, team.name] as const),
    ),
  );
  return {
    declaration,
    workloads: byName(declaration.workloads),
    policies: byName(declaration.policies),
    teams: byName(declaration.teams),
    teamByMember,
    needs: new Map(
      declaration.workloads.map(workload => [workload.name, needOf(workload)]),
    ),
    shardCapacity: shardId => {
      const capacity =
        capacities.get(shardId) ??
        capacityOfShard(declaration, shardId, siteTotal);
      capacities.set(shardId, capacity);
      return capacity;
    },
  };
}

/** A request keeps at least the connection open that it is asked over. */
function needOf({kind, size}: WorkloadDeclaration): ResourceVector {
  const least = kind === 'service' ? 1 : 0;
  const connections = Math.max(size.connections, least);
  return toResourceVector({...size, connections});
}

function capacityOfShard(
  declaration: Declaration,
  shardId: string,
  siteTotal: ResourceVector,
): ShardCapacity {
  const layouts = layOutShards(declaration, zoneOfShard(shardId));
  const layout = layouts.find(item => item.shardId === shardId);
  const workers = layout?.workers ?? [];
  const total = totalOf(workers);
  const partOfSite = total.map((amount, kind) =>
    siteTotal[kind] === 0 ? 0 : amount / siteTotal[kind],
  );
  return {workers, total, partOfSite};
}

function totalOf(workers: readonly WorkerDeclaration[]): ResourceVector {
  return workers.reduce<ResourceVector>(
    (total, worker) => addResources(total, ownCapacity(worker)),
    NO_RESOURCES,
  );
}

function byName<Item extends {readonly name: string}>(
  items: readonly Item[],
): Map<string, Item> {
  return new Map(items.map(item => [item.name, item]));
}

/**
 * The part of a team's quota that one shard may give out. It is fixed by the
 * declaration, so that shards that can't hear each other never pass the whole.
 */
export function quotaPart(
  view: SiteView,
  team: string,
  shardId: string,
): ResourceVector | undefined {
  const quota = view.teams.get(team)?.quota;
  if (quota === undefined) {
    return undefined;
  }
  const {partOfSite} = view.shardCapacity(shardId);
  return toQuotaVector(quota).map((amount, kind) =>
    amount === Infinity ? Infinity : Math.floor(amount * partOfSite[kind]),
  ) as unknown as ResourceVector;
}
