/** The platform did not do, or did not say that it did, what was asked. */
export class PlatformError extends Error {
  override readonly name = 'PlatformError';

  constructor(
    message: string,
    /** Whether the request may have taken effect all the same. */
    readonly mayHaveTakenEffect: boolean,
  ) {
    super(message);
  }
}
