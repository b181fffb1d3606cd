/** Status of a client account, as the holder's metrics show it. */
export interface AccountStatus {
  readonly account: string;
  /** Value of each gauge, by its name without `samphireramp_account_`. */
  readonly values: Readonly<Record<string, number>>;
}

const ACCOUNT_SERIES = /^account_([a-z_]+)\{account="([^"]*)"\}$/;
const PERCENT = 100;
const MILLIS_PER_SECOND = 1000;
/** Resources in a line about an account: their name there and in the gauges. */
const SHOWN_RESOURCES = [
  ['cpu', 'cpu_millis'],
  ['memory', 'memory_megabytes'],
  ['accelerators', 'accelerators'],
] as const;

/** Collects the gauges of accounts from the time series of a host. */
export function listAccounts(
  series: ReadonlyMap<string, number>,
): AccountStatus[] {
  const valuesByAccount = new Map<string, Record<string, number>>();
  for (const [name, value] of series) {
    const [, gauge, account] = ACCOUNT_SERIES.exec(name) ?? [];
    if (gauge !== undefined) {
      const values = valuesByAccount.get(account) ?? {};
      values[gauge] = value;
      valuesByAccount.set(account, values);
    }
  }
  return [...valuesByAccount].map(([account, values]) => ({account, values}));
}

/** Formats the status of an account as one line. */
export function formatAccount({account, values}: AccountStatus): string {
  const valueOf = (name: string) => values[name] ?? 0;
  const resources = SHOWN_RESOURCES.map(([name, gauge]) => {
    const limit = valueOf(`limit_${gauge}`);
    const limitText = limit === 0 ? 'unlimited' : String(limit);
    return `${name}=${valueOf(`running_${gauge}`)}/${limitText}`;
  });
  return [
    `account=${JSON.stringify(account)}`,
    `waiting_jobs=${valueOf('waiting_jobs')}`,
    `oldest_waiting=${formatSeconds(valueOf('oldest_waiting_milliseconds'))}`,
    ...resources,
    `run_share=${formatPercent(valueOf('run_share'))}`,
    `weight_share=${formatPercent(valueOf('weight_share'))}`,
  ].join(' ');
}

function formatSeconds(millis: number): string {
  return `${(millis / MILLIS_PER_SECOND).toFixed(1)}s`;
}

function formatPercent(share: number): string {
  return `${(share * PERCENT).toFixed(1)}%`;
}
