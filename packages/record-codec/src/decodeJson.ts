import * as z from 'zod/mini';

/** Called with why a value was rejected, in one line. */
export type OnInvalid = (reason: string) => void;

/**
 * Decodes JSON by a schema; undefined, after a call of `onInvalid`, if it is no
 * JSON or the schema rejects it. Never throws, whoever wrote the content.
 */
export function decodeJson<Value>(
  schema: z.ZodMiniType<Value>,
  content: Buffer | string,
  onInvalid: OnInvalid = ignoreReason,
): Value | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(content.toString());
  } catch {
    onInvalid('not JSON');
    return undefined;
  }
  return decodeValue(schema, parsed, onInvalid);
}

/** Like `decodeJson`, for a value that is parsed already. */
export function decodeValue<Value>(
  schema: z.ZodMiniType<Value>,
  value: unknown,
  onInvalid: OnInvalid = ignoreReason,
): Value | undefined {
  try {
    const result = schema.safeParse(value);
    if (result.success) {
      return result.data;
    }
    const [{path, code}] = result.error.issues;
    onInvalid([...path.map(String), code].join('.'));
  } catch (error) {
    // With some 100,000 invalid elements in a list, `safeParse` overflows the
    // stack: it passes its findings on as the arguments of one call.
    onInvalid(String(error));
  }
  return undefined;
}

function ignoreReason(): void {
  // The caller needs only the result.
}
