import {KernelError} from './KernelError';

/** Throws a `KernelError` with `message` unless `condition` holds. */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) {
    throw new KernelError(message);
  }
}
