/** Reads JSON; undefined if it is none, which no schema lets through. */
export function parseJson(content: Buffer | string): unknown {
  try {
    return JSON.parse(content.toString());
  } catch {
    return undefined;
  }
}
