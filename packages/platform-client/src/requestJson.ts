import {Err, Ok, type Result} from 'ts-results-es';
import {type Dispatcher, request} from 'undici';
import type * as z from 'zod/mini';
import {PlatformError} from './PlatformError';

/** One request with a JSON body and a JSON answer. */
export interface JsonRequest<Schema extends z.ZodMiniType> {
  readonly url: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly body?: unknown;
  readonly schema: Schema;
  readonly timeoutMillis: number;
  readonly dispatcher?: Dispatcher;
}

/** Codes of failures before anything was sent. */
const NOT_SENT_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Asks over HTTP; a connection that stays silent is not used again. */
export async function requestJson<Schema extends z.ZodMiniType>(
  question: JsonRequest<Schema>,
): Promise<Result<z.infer<Schema>, PlatformError>> {
  try {
    const answer = await request(question.url, {
      method: question.method,
      headers: {'content-type': 'application/json'},
      body: question.body === undefined ? null : JSON.stringify(question.body),
      dispatcher: question.dispatcher,
      signal: AbortSignal.timeout(
        Math.max(1, Math.ceil(question.timeoutMillis)),
      ),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      const isUnsure = answer.statusCode >= 500 && answer.statusCode !== 503;
      const message = `status ${answer.statusCode}: ${text.slice(0, 200)}`;
      return Err(new PlatformError(message, isUnsure));
    }
    return checkAnswer(question.schema, text);
  } catch (error) {
    return Err(toPlatformError(error));
  }
}

function checkAnswer<Schema extends z.ZodMiniType>(
  schema: Schema,
  text: string,
): Result<z.infer<Schema>, PlatformError> {
  const parsed = schema.safeParse(JSON.parse(text));
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  const place = issue.path.join('.');
  return Err(new PlatformError(`answer at ${place}: ${issue.message}`, true));
}

function toPlatformError(error: unknown): PlatformError {
  const code = (error as {code?: unknown}).code;
  const isSurelyNotSent =
    typeof code === 'string' && NOT_SENT_CODES.includes(code);
  const message = error instanceof Error ? error.message : String(error);
  return new PlatformError(message, !isSurelyNotSent);
}
