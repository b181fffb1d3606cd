import type {Job} from '@samphireramp/jobs';
import type {StateReader, Update} from '@samphireramp/kernel';
import type {ClientAccountsOf} from './accountsByName';
import {type AccountQuota, createStartQuota} from './startQuota';
import {virtualDelayMillis} from './virtualArrivals';

/** What placement asks about accounts. */
export interface AccountFunctions {
  /** Creates the quota of one placement pass. */
  createStartQuota(state: StateReader): AccountQuota;
  /** How much later than it was received a job counts as arrived. */
  virtualDelayMillis(update: Update, job: Job): number;
}

/** Creates the functions for the accounts that a configuration names. */
export function createAccountFunctions(
  clientAccountsOf: ClientAccountsOf,
): AccountFunctions {
  return {
    createStartQuota: state => createStartQuota(state, clientAccountsOf),
    virtualDelayMillis: (update, job) =>
      virtualDelayMillis(update, job, clientAccountsOf),
  };
}
