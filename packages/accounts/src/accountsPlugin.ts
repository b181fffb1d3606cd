import {type Plugin, mergeUnregister} from '@samphireramp/kernel';

/** Creates the plug-in that keeps the state of client accounts. */
export function createAccountsPlugin(): Plugin {
  return () => mergeUnregister();
}
