/** Seeds with which the soak once failed, each with the cause. */
export const REGRESSION_SEEDS: ReadonlyArray<{
  readonly seed: number;
  readonly cause: string;
}> = [
  {
    seed: 2,
    cause: 'SIGHUP during startup ended the daemon',
  },
  {
    seed: 3001,
    cause:
      'a delayed start order for one incarnation of a worker ran on the next',
  },
  {
    seed: 3008,
    cause:
      'a run that the next incarnation of a worker confirmed was discarded',
  },
];
