const POLL_MILLIS = 50;

/** Polls a condition; resolves to false if it isn't met before the timeout. */
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
      setTimeout(resolve, POLL_MILLIS);
    });
  }
  return false;
}
