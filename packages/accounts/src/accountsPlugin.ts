import {type Plugin, mergeUnregister} from '@samphireramp/kernel';
import {CONFIGURATION_READ, CONFIGURATION_READ_AT} from './configurationAge';

/** Creates the plug-in that keeps the state of client accounts. */
export function createAccountsPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(CONFIGURATION_READ_AT),
      kernel.registerCommand(CONFIGURATION_READ, (update, {sentAt}) =>
        update.write(CONFIGURATION_READ_AT).set(sentAt),
      ),
    );
}
