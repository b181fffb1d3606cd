import type {ClientAccount} from '@samphireramp/jobs';
import type {StateReader} from '@samphireramp/kernel';

/** Returns the accounts of the configuration in force; undefined if there is none. */
export type ClientAccountsOf = (
  state: StateReader,
) => readonly ClientAccount[] | undefined;

/** Accounts by name, for each list; a configuration never changes its list. */
const accountsByList = new WeakMap<
  readonly ClientAccount[],
  ReadonlyMap<string, ClientAccount>
>();

/** Returns the accounts of a list by name; the result is kept with the list. */
export function accountsByName(
  accounts: readonly ClientAccount[],
): ReadonlyMap<string, ClientAccount> {
  const known = accountsByList.get(accounts);
  if (known !== undefined) {
    return known;
  }
  const byName = new Map(accounts.map(account => [account.name, account]));
  accountsByList.set(accounts, byName);
  return byName;
}
