import {serve} from '@hono/node-server';
import {
  type ExecuteAnswer,
  type ResourceVector,
  type StartOrder,
  exchangeRequestSchema,
  executeRequestSchema,
} from '@samphireramp/model';
import {Hono} from 'hono';
import {randomUUID} from 'node:crypto';
import * as z from 'zod/mini';
import {type TaskRun, WorkerModel} from './WorkerModel';

/** What a worker stand-in is started with. */
export interface WorkerOptions {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly capacity: ResourceVector;
  readonly quietMillis: number;
  readonly usageLagMillis: number;
}

/** What the input of a task or request may tell a stand-in. */
const inputSchema = z.object({
  runMillis: z._default(z.number(), 50),
  fails: z._default(z.boolean(), false),
});

const REMEMBERED_ANSWERS = 10_000;
const ADVANCE_MILLIS = 100;

/** How a task goes, as its input says. */
export function runFromInput(order: Pick<StartOrder, 'input'>): TaskRun {
  const parsed = inputSchema.safeParse(order.input ?? {});
  const {runMillis, fails} = parsed.success
    ? parsed.data
    : {runMillis: 50, fails: false};
  return {millis: runMillis, succeeds: !fails};
}

/** Starts a worker over HTTP. `POST /leaving` marks it as leaving. */
export function startWorker(options: WorkerOptions) {
  const model = new WorkerModel({
    ...options,
    incarnation: randomUUID(),
    startedAt: performance.now(),
    refusesOverload: true,
    runOf: runFromInput,
  });
  const answers = new Map<string, Promise<ExecuteAnswer>>();
  const timer = setInterval(
    () => model.advance(performance.now()),
    ADVANCE_MILLIS,
  );
  timer.unref();
  const app = new Hono();

  app.post('/v1/exchange', async context => {
    const parsed = exchangeRequestSchema.safeParse(await context.req.json());
    return parsed.success
      ? context.json(model.exchange(parsed.data, performance.now()))
      : context.json({error: parsed.error.issues[0]?.message}, 400);
  });

  app.post('/v1/execute', async context => {
    const parsed = executeRequestSchema.safeParse(await context.req.json());
    if (!parsed.success) {
      return context.json({error: parsed.error.issues[0]?.message}, 400);
    }
    const {requestId} = parsed.data;
    const known = answers.get(requestId);
    if (known !== undefined) {
      const {output} = await known;
      const {attempt} = parsed.data;
      return context.json({requestId, attempt, output});
    }
    return context.json(await begin(parsed.data));
  });

  app.post('/leaving', context => {
    model.leaving = true;
    return context.json({});
  });

  type Execution = z.infer<typeof executeRequestSchema>;

  async function begin(request: Execution): Promise<ExecuteAnswer> {
    const {requestId, attempt} = request;
    const refusal = model.beginExecution(request, performance.now());
    if (refusal !== undefined) {
      return {requestId, attempt, refusal};
    }
    const answer = run(request);
    remember(requestId, answer);
    return answer;
  }

  async function run(request: Execution): Promise<ExecuteAnswer> {
    const {requestId, attempt, input, endBy} = request;
    const left = endBy - performance.now();
    const millis = Math.min(runFromInput(request).millis, left);
    await new Promise(resolve => {
      setTimeout(resolve, millis);
    });
    model.endExecution(requestId);
    return {requestId, attempt, output: {worker: options.name, input}};
  }

  function remember(requestId: string, answer: Promise<ExecuteAnswer>): void {
    answers.set(requestId, answer);
    if (answers.size > REMEMBERED_ANSWERS) {
      const [oldest] = answers.keys();
      answers.delete(oldest);
    }
  }

  return serve({fetch: app.fetch, hostname: options.host, port: options.port});
}
