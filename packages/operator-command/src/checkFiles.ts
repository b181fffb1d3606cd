import {
  decodeConfiguration,
  decodeHostSettings,
  type HostSettings,
} from '@samphireramp/platform';
import type {SiteConfiguration} from '@samphireramp/jobs';
import {readFileSync} from 'node:fs';
import {CommandError, EXIT} from './CommandError';

/** Reads the settings file of a host as the daemon does. */
export function checkSettings(path: string): HostSettings {
  const settings = decodeHostSettings(read(path));
  if (typeof settings === 'string') {
    throw new CommandError(`${path}: ${settings}`, EXIT.wrongInput);
  }
  return settings;
}

/** Reads a configuration as the daemon does. */
export function checkConfiguration(path: string): SiteConfiguration {
  const configuration = decodeConfiguration(read(path));
  if (configuration === undefined) {
    const message = `${path}: not a configuration; hosts would keep the one in force`;
    throw new CommandError(message, EXIT.wrongInput);
  }
  return configuration;
}

function read(path: string): Buffer {
  try {
    return readFileSync(path);
  } catch (error) {
    const {message} = error as Error;
    throw new CommandError(message, EXIT.wrongInput);
  }
}
