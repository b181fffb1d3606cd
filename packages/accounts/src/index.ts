/** Client accounts: who may call, what they may use, and their shares. */
export {
  type AccountFunctions,
  createAccountFunctions,
} from './accountFunctions';
export {createAccountsPlugin} from './accountsPlugin';
export {MAX_API_KEY_BYTES, digestApiKey} from './apiKeys';
export {
  type CallContext,
  type CallDecision,
  type RejectionReason,
  type RevocationTerms,
  decideCall,
  isConfigurationOutdated,
} from './authorization';
export type {ClientAccountsOf} from './accountsByName';
export type {AccountQuota} from './startQuota';
