import {
  decodeConfiguration,
  decodeHostSettings,
  type HostSettings,
} from '@samphireramp/platform';
import type {SiteConfiguration} from '@samphireramp/jobs';
import {readFileSync} from 'node:fs';
import {CommandError, EXIT_STATUS} from './CommandError';

/** Reads and validates the settings file of a host as the daemon does. */
export function readHostSettings(path: string): HostSettings {
  const settings = decodeHostSettings(readFile(path));
  if (typeof settings === 'string') {
    throw new CommandError(`${path}: ${settings}`, EXIT_STATUS.invalidInput);
  }
  return settings;
}

/** Reads and validates a configuration file as the daemon does. */
export function readConfiguration(path: string): SiteConfiguration {
  let invalidReason = 'invalid';
  const configuration = decodeConfiguration(readFile(path), reason => {
    invalidReason = reason;
  });
  if (configuration === undefined) {
    const message = `${path}: not a configuration (${invalidReason}); hosts would keep the one in force`;
    throw new CommandError(message, EXIT_STATUS.invalidInput);
  }
  return configuration;
}

function readFile(path: string): Buffer {
  try {
    return readFileSync(path);
  } catch (error) {
    const {message} = error as Error;
    throw new CommandError(message, EXIT_STATUS.invalidInput);
  }
}
