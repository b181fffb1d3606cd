import type {SiteConfiguration} from '@samphireramp/jobs';
import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ,
  CONFIGURATION_READ_AT,
  SITE_CONFIGURATION,
} from './configurationState';

/** Creates the plug-in that keeps the configuration in force and when it was read. */
export function createConfigurationPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(SITE_CONFIGURATION),
      kernel.registerSlice(CONFIGURATION_READ_AT),
      kernel.registerCommand(CONFIGURATION_IN_FORCE, onConfiguration),
      kernel.registerCommand(CONFIGURATION_READ, (update, {sentAt}) =>
        update.write(CONFIGURATION_READ_AT).set(sentAt),
      ),
    );
}

/** Replaces the configuration, unless the received one is older. */
function onConfiguration(
  update: Update,
  {configuration}: {readonly configuration: SiteConfiguration},
): void {
  const inForce = update.write(SITE_CONFIGURATION);
  if (configuration.revision >= (inForce.get()?.revision ?? 0)) {
    inForce.set(configuration);
  }
}
