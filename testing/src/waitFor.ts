/** Time between the end of one check and the start of the next. */
const CHECK_INTERVAL_MILLIS = 50;

/**
 * Checks a condition until it is met. Resolves to whether it was met before the
 * timeout.
 */
export async function waitFor(
  condition: () => Promise<boolean> | boolean,
  timeoutMillis: number,
): Promise<boolean> {
  const deadline = performance.now() + timeoutMillis;
  while (performance.now() < deadline) {
    if (await condition()) {
      return true;
    }
    await new Promise(resolve => {
      setTimeout(resolve, CHECK_INTERVAL_MILLIS);
    });
  }
  return false;
}
