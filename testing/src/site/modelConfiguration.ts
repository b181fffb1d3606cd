import type {
  ClientAccount,
  QueuePolicy,
  Resources,
  SiteConfiguration,
} from '@samphireramp/jobs';
import {buildConfiguration} from './jobFixture';

/** What a model site writes to the stream of configurations. */
interface ConfigurationRecord {
  readonly revision: number;
  readonly clientAccounts: readonly ClientAccount[];
}

/** Builds a client account; a limit of 0 of a resource means none. */
export function buildAccount(
  name: string,
  limit: Partial<Resources> = {},
  weight = 1,
): ClientAccount {
  const noLimit = {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
  return {name, keyDigests: [], weight, limit: {...noLimit, ...limit}};
}

/** Encodes a configuration for the log of a model site. */
export function encodeModelConfiguration(record: ConfigurationRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes a configuration from the log of a model site. */
export function decodeModelConfiguration(
  value: Buffer,
  policies: readonly QueuePolicy[],
): SiteConfiguration {
  const record = JSON.parse(value.toString()) as ConfigurationRecord;
  const clientAccounts = [...record.clientAccounts];
  const {revision} = record;
  return {...buildConfiguration(policies), revision, clientAccounts};
}
