import type {SiteConfiguration} from '@samphireramp/jobs';
import {type Plugin, type Update, mergeUnregister} from '@samphireramp/kernel';
import {
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ,
  CONFIGURATION_READ_AT,
  NEWEST_KNOWN_REVISION,
  READ_CONFIGURATION_NOW,
  REVISION_KNOWN,
  SITE_CONFIGURATION,
} from './configurationState';

/** Creates the plug-in that keeps the configuration in force and when it was read. */
export function createConfigurationPlugin(): Plugin {
  return kernel =>
    mergeUnregister(
      kernel.registerSlice(SITE_CONFIGURATION),
      kernel.registerSlice(CONFIGURATION_READ_AT),
      kernel.registerSlice(NEWEST_KNOWN_REVISION),
      kernel.registerCommand(CONFIGURATION_IN_FORCE, onConfiguration),
      kernel.registerCommand(CONFIGURATION_READ, (update, {sentAt}) =>
        update.write(CONFIGURATION_READ_AT).set(sentAt),
      ),
      kernel.registerCommand(REVISION_KNOWN, onRevisionKnown),
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

/** Has a host that is behind read the configuration before its next pause ends. */
function onRevisionKnown(
  update: Update,
  {revision}: {readonly revision: number},
): void {
  const newest = update.write(NEWEST_KNOWN_REVISION);
  if (revision <= newest.get()) {
    return;
  }
  newest.set(revision);
  const inForce = update.read(SITE_CONFIGURATION).get()?.revision;
  if (inForce !== undefined && revision > inForce) {
    update.emit(READ_CONFIGURATION_NOW, {revision});
  }
}
