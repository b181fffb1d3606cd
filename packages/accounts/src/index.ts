/** Client accounts: who may call, what they may use, and their shares. */
export {createAccountsPlugin} from './accountsPlugin';
