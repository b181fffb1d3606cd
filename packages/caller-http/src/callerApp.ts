import {
  type CallOutcome,
  type PeerCall,
  describeIssue,
  jobRequestSchema,
  keySchema,
  serviceRequestSchema,
} from '@samphireramp/model';
import {type Context, Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import type {ContentfulStatusCode} from 'hono/utils/http-status';
import {match} from 'ts-pattern';
import type * as z from 'zod/mini';

const LARGEST_BODY_BYTES = 1_048_576;
const TOO_LARGE = 413;
const BAD_REQUEST = 400;

/** Decides on a call and returns its outcome. */
export type DecideCall = (call: PeerCall) => Promise<CallOutcome>;

/** The error body of a request that could not be understood. */
export interface RequestFault {
  readonly error: 'bad-request' | 'too-large' | 'not-found';
  readonly detail: string;
}

/** The callers' front end; it knows messages, and decides nothing. */
export function createCallerApp(decide: DecideCall): Hono {
  const app = new Hono();
  app.use(
    bodyLimit({
      maxSize: LARGEST_BODY_BYTES,
      onError: context => {
        const detail = `expected a body of at most ${LARGEST_BODY_BYTES} bytes`;
        const fault: RequestFault = {error: 'too-large', detail};
        return context.json(fault, TOO_LARGE);
      },
    }),
  );
  app.post('/v1/requests', context =>
    withBody(context, serviceRequestSchema, request =>
      answer(context, decide, {call: 'request', request}),
    ),
  );
  app.post('/v1/jobs', context =>
    withBody(context, jobRequestSchema, request =>
      answer(context, decide, {call: 'submit', request}),
    ),
  );
  app.get('/v1/jobs/:key', context =>
    withKey(context, key => answer(context, decide, {call: 'status', key})),
  );
  app.delete('/v1/jobs/:key', context =>
    withKey(context, key => answer(context, decide, {call: 'cancel', key})),
  );
  app.notFound(context => {
    const detail = `${context.req.method} ${context.req.path} is not served`;
    const fault: RequestFault = {error: 'not-found', detail};
    return context.json(fault, 404);
  });
  return app;
}

async function withBody<Schema extends z.ZodMiniType>(
  context: Context,
  schema: Schema,
  use: (value: z.infer<Schema>) => Promise<Response>,
): Promise<Response> {
  let body: unknown;
  try {
    body = await context.req.json();
  } catch {
    return badRequest(context, 'body: expected JSON');
  }
  const parsed = schema.safeParse(body);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const place = issue.path.join('.') || 'body';
    return badRequest(context, `${place} ${describeIssue(issue, body)}`);
  }
  return use(parsed.data);
}

async function withKey(
  context: Context,
  use: (key: string) => Promise<Response>,
): Promise<Response> {
  const parsed = keySchema.safeParse(context.req.param('key'));
  return parsed.success
    ? use(parsed.data)
    : badRequest(context, 'key: expected letters, digits and ~._- only');
}

async function answer(
  context: Context,
  decide: DecideCall,
  call: PeerCall,
): Promise<Response> {
  const outcome = await decide(call);
  return context.json(outcome, statusOf(outcome));
}

/** The HTTP status that says what an outcome says. */
export function statusOf(outcome: CallOutcome): ContentfulStatusCode {
  return match(outcome)
    .returnType<ContentfulStatusCode>()
    .with({outcome: 'answered'}, () => 200)
    .with({outcome: 'accepted'}, () => 200)
    .with({outcome: 'no-such-job'}, () => 404)
    .with({outcome: 'unknown'}, () => 504)
    .with({outcome: 'not-run'}, ({reason}) =>
      match(reason)
        .returnType<ContentfulStatusCode>()
        .with('unknown-workload', 'wrong-kind', 'can-never-fit', () => 422)
        .with('unknown-member', 'not-allowed', () => 403)
        .with('key-reused', 'cancelled', () => 409)
        .with('over-limit', 'queue-full', () => 429)
        .otherwise(() => 503),
    )
    .exhaustive();
}

function badRequest(context: Context, detail: string): Response {
  const fault: RequestFault = {error: 'bad-request', detail};
  return context.json(fault, BAD_REQUEST);
}
