/** Exit statuses of the command. */
export const EXIT_STATUS = {
  done: 0,
  failed: 1,
  invalidInput: 2,
} as const;

/** An error that ends the command with a one-line message and exit status. */
export class CommandError extends Error {
  override readonly name = 'CommandError';

  constructor(
    message: string,
    readonly exitStatus: number,
  ) {
    super(message);
  }
}
