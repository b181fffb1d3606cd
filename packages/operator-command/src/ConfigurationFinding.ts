/** Where in a configuration a finding is: names of fields and indices of lists. */
export type ConfigurationPath = readonly (string | number)[];

/** What is wrong with a configuration, or differs from another one. */
export interface ConfigurationFinding {
  /**
   * `error`: a part has no effect, or another than it says; `warning`: a part is
   * probably a mistake; `difference`: a part differs from the other configuration.
   */
  readonly severity: 'error' | 'warning' | 'difference';
  readonly kind:
    | 'never-matches'
    | 'unknown-pool'
    | 'contradictory-limit'
    | 'duplicate'
    | 'difference';
  readonly path: ConfigurationPath;
  /** Names accounts, queues and pools, but never a key or its digest. */
  readonly reason: string;
}
