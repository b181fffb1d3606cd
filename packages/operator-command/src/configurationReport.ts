import {formatConfigurationPath} from '@samphireramp/platform';
import type {SiteConfiguration} from '@samphireramp/jobs';
import {EXIT_STATUS} from './CommandError';
import type {ConfigurationFinding} from './ConfigurationFinding';
import {compareConfigurations} from './configurationDifferences';
import {checkConfiguration} from './configurationFindings';
import {readConfiguration} from './readFiles';

/** What `check-configuration` prints, and its exit status. */
export interface ConfigurationReport {
  readonly text: string;
  /** The configuration without keys, and the findings with paths in the file. */
  readonly value: object;
  readonly exitStatus: number;
}

/**
 * Checks a configuration file and, if another file is named, compares it with that
 * one. Throws a `CommandError` if hosts would reject one of them.
 */
export function reportConfiguration(
  file: string,
  againstFile: string | undefined,
): ConfigurationReport {
  const configuration = readConfiguration(file);
  const findings = [
    ...checkConfiguration(configuration),
    ...(againstFile === undefined
      ? []
      : compareConfigurations(readConfiguration(againstFile), configuration)),
  ];
  const shownFindings = findings.map(finding => ({
    ...finding,
    path: formatConfigurationPath(finding.path),
  }));
  return {
    text: formatReport(file, configuration, shownFindings),
    value: {...withoutKeys(configuration), findings: shownFindings},
    exitStatus: findings.length > 0 ? EXIT_STATUS.failed : EXIT_STATUS.done,
  };
}

/** Replaces the digests of API keys by their number. */
export function withoutKeys({
  clientAccounts,
  ...configuration
}: SiteConfiguration): object {
  return {
    ...configuration,
    clientAccounts: clientAccounts.map(({keyDigests, ...account}) => ({
      ...account,
      keys: keyDigests.length,
    })),
  };
}

function formatReport(
  file: string,
  {revision, routes, pools, clientAccounts}: SiteConfiguration,
  findings: readonly (Omit<ConfigurationFinding, 'path'> & {path: string})[],
): string {
  return [
    `${file}: revision ${revision}, ${routes.length} queues, ${pools.length} pools, ${clientAccounts.length} accounts`,
    ...routes.map(
      ({policy, pathPrefix}) =>
        `  ${policy.name} at ${pathPrefix} on ${policy.pool}, priority ${policy.priority}`,
    ),
    ...findings.map(
      ({severity, path, reason}) => `${severity} ${path}: ${reason}`,
    ),
  ].join('\n');
}
