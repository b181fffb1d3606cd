/** Seeds of the soak that showed a fault once, each with its cause. */
export const REGRESSION_SEEDS: ReadonlyArray<{
  readonly seed: number;
  readonly cause: string;
}> = [
  {
    seed: 2,
    cause: 'a SIGHUP while the daemon still started ended its process',
  },
  {
    seed: 3001,
    cause: 'a start meant for an earlier life of a worker ran in the next one',
  },
  {
    seed: 3008,
    cause: 'a start that the next life of a worker confirmed was given up',
  },
];
