import type {ClientAccount, Job, Resources} from '@samphireramp/jobs';
import type {FaultDraws} from './capacityFaults';
import {buildAccount} from './modelConfiguration';
import type {ModelSite} from './ModelSite';

/** Bounds of the time for which limits are lower. */
const MIN_LOWERED_MILLIS = 500;
const MAX_LOWERED_MILLIS = 4000;
/** A limit is at most so many times the greatest need of a step. */
const MAX_LIMIT_FACTOR = 1.5;

/** Draws the account of a job; the first has half of the jobs. */
export function drawAccount(random: () => number, accounts: number): string {
  const number = random() < 0.5 ? 0 : Math.floor(random() * accounts);
  return `account-${number}`;
}

/** Configures accounts with limits under which each gang and task of the jobs fits. */
export function drawAccounts(
  random: () => number,
  jobs: readonly Job[],
): ClientAccount[] {
  const names = new Set(jobs.map(({account}) => account));
  return [...names].map(name => {
    const needs = jobs
      .filter(({account}) => account === name)
      .flatMap(({steps}) =>
        steps.map(({need, isGang, count}) => ({
          need,
          tasks: isGang ? count : 1,
        })),
      );
    const limitOf = (resource: keyof Resources) =>
      Math.ceil(
        Math.max(...needs.map(({need, tasks}) => need[resource] * tasks)) *
          (1 + random() * (MAX_LIMIT_FACTOR - 1)),
      );
    const limit = {
      cpuMillis: limitOf('cpuMillis'),
      memoryMegabytes: random() < 0.5 ? 0 : limitOf('memoryMegabytes'),
    };
    return buildAccount(name, limit, 0.1 + random());
  });
}

/** Lowers all limits at random times, and raises them again after a while. */
export function scheduleLimitChanges(
  site: ModelSite,
  times: number,
  accounts: readonly ClientAccount[],
  {random, between, repeatAtRandomTimes}: FaultDraws,
): void {
  repeatAtRandomTimes(times, () => {
    const share = 0.3 + random() * 0.6;
    site.configureAccounts(
      accounts.map(account => ({
        ...account,
        limit: {
          ...account.limit,
          cpuMillis: Math.ceil(account.limit.cpuMillis * share),
        },
      })),
    );
    site.clock.after(between(MIN_LOWERED_MILLIS, MAX_LOWERED_MILLIS), () =>
      site.configureAccounts(accounts),
    );
  });
}
