const POLL_MILLIS = 50;

/** Asks until a condition holds; false when the time is up. */
export async function waitFor(
  holds: () => Promise<boolean> | boolean,
  patienceMillis: number,
): Promise<boolean> {
  const giveUpAt = performance.now() + patienceMillis;
  while (performance.now() < giveUpAt) {
    if (await holds()) {
      return true;
    }
    await new Promise(resolve => {
      setTimeout(resolve, POLL_MILLIS);
    });
  }
  return false;
}
