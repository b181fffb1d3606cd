/** Exit statuses of the command. */
export const EXIT = {
  done: 0,
  failed: 1,
  wrongInput: 2,
} as const;

/** A fault that ends the command, in one line, with what to do next. */
export class CommandError extends Error {
  override readonly name = 'CommandError';

  constructor(
    message: string,
    readonly exitStatus: number,
  ) {
    super(message);
  }
}
