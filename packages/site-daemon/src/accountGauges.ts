import {SITE_CONFIGURATION} from '@samphireramp/configuration';
import {listActiveJobs} from '@samphireramp/dispatch';
import {RUNS} from '@samphireramp/fleet';
import {heldTerm} from '@samphireramp/holding';
import type {StateReader} from '@samphireramp/kernel';
import type {GaugeSample} from '@samphireramp/telemetry';
import {createHash} from 'node:crypto';
import {
  type AccountUsage,
  type AccountUsageSummary,
  summarizeAccountUsage,
} from './accountUsage';
import type {GaugeSource} from './observerPlugin';

/** A site has 81 accounts by design; each shown one adds ten time series. */
const MAX_ACCOUNTS_SHOWN = 100;
/** Minimum time between two computations, which read all runs and active jobs. */
const MIN_INTERVAL_MILLIS = 1000;
/** Names that are labels as they are. Others may be long, or collide once escaped. */
const PLAIN_NAME = /^(?:[^\p{C}\p{Z}\\"]| ){1,64}$/u;
const LABEL_PREFIX_CHARACTERS = 40;
const LABEL_HASH_CHARACTERS = 12;

/** Clocks of `createAccountGauges`. */
export interface AccountGaugeClocks {
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
}

/** Creates the gauges of client accounts. Only the holder of the site has any. */
export function createAccountGauges({
  now,
  wallClock,
}: AccountGaugeClocks): GaugeSource {
  let samples: readonly GaugeSample[] = [];
  let computedAt = -Infinity;
  let computedInTerm: number | undefined;
  return state => {
    const term = heldTerm(state);
    const accounts = state.read(SITE_CONFIGURATION).get()?.clientAccounts ?? [];
    if (term === undefined || accounts.length === 0) {
      return [];
    }
    if (term !== computedInTerm || now() - computedAt >= MIN_INTERVAL_MILLIS) {
      computedInTerm = term;
      computedAt = now();
      samples = toSamples(readUsage(state, wallClock()));
    }
    return samples;
  };
}

function readUsage(state: StateReader, wallNow: number): AccountUsageSummary {
  return summarizeAccountUsage(
    {
      accounts: state.read(SITE_CONFIGURATION).get()?.clientAccounts ?? [],
      activeJobs: listActiveJobs(state),
      runs: state.read(RUNS).values(),
      wallNow,
    },
    MAX_ACCOUNTS_SHOWN,
  );
}

function toSamples({shown, notShown}: AccountUsageSummary): GaugeSample[] {
  return [
    {name: 'accounts_not_shown', labels: {}, value: notShown},
    ...shown.flatMap(usage => {
      const labels = {account: accountLabel(usage.name)};
      return Object.entries(gaugesOf(usage)).map(([name, value]) => ({
        name: `account_${name}`,
        labels,
        value,
      }));
    }),
  ];
}

function gaugesOf({
  waitingJobs,
  oldestWaitingMillis,
  running,
  limit,
  runShare,
  weightShare,
}: AccountUsage): Record<string, number> {
  return {
    waiting_jobs: waitingJobs,
    oldest_waiting_milliseconds: Math.round(oldestWaitingMillis),
    running_cpu_millis: running.cpuMillis,
    running_memory_megabytes: running.memoryMegabytes,
    running_accelerators: running.accelerators,
    limit_cpu_millis: limit.cpuMillis,
    limit_memory_megabytes: limit.memoryMegabytes,
    limit_accelerators: limit.accelerators,
    run_share: runShare,
    weight_share: weightShare,
  };
}

/**
 * Returns the name of an account as the value of a label. A long name, or one
 * with control characters or such, is shortened and gets a hash of the whole name,
 * so that no two accounts have the same label.
 */
export function accountLabel(name: string): string {
  if (PLAIN_NAME.test(name)) {
    return name;
  }
  const prefix = name
    .slice(0, LABEL_PREFIX_CHARACTERS)
    .replace(/[\p{C}\p{Z}\\"]/gu, '_');
  const hash = createHash('sha256').update(name).digest('hex');
  return `${prefix}~${hash.slice(0, LABEL_HASH_CHARACTERS)}`;
}
