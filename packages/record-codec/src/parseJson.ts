/** Parses JSON; undefined, which every schema rejects, if it is invalid. */
export function parseJson(content: Buffer | string): unknown {
  try {
    return JSON.parse(content.toString());
  } catch {
    return undefined;
  }
}
