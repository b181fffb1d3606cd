/** A misuse of the kernel: a programming error, never invalid input. */
export class KernelError extends Error {
  override readonly name = 'KernelError';
}
