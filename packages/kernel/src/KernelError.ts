/** A fault in how the kernel is used: a programming error, never bad input. */
export class KernelError extends Error {
  override readonly name = 'KernelError';
}
