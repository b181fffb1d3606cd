/** Client accounts: who may call, what they may use, and their shares. */
export {
  type AccountFunctions,
  createAccountFunctions,
} from './accountFunctions';
export {createAccountsPlugin} from './accountsPlugin';
export type {ClientAccountsOf} from './accountsByName';
export {
  type HandInDecision,
  type HandInSituation,
  decideHandIn,
} from './handInDecision';
export type {AccountQuota} from './startQuota';
