import {
  type Kernel,
  type PayloadOf,
  type Plugin,
  mergeUnregister,
} from '@samphireramp/kernel';
import {exchangeAnswerSchema, executeAnswerSchema} from '@samphireramp/model';
import {
  EXCHANGE,
  WORKER_ANSWERED,
  WORKER_SILENT,
} from '@samphireramp/ownership';
import {EXECUTE, EXECUTED, EXECUTION_SILENT} from '@samphireramp/scheduling';
import {Agent} from 'undici';
import {requestJson} from './requestJson';

/** Connections that one host keeps to one worker, out of its about 60. */
const CONNECTIONS_TO_WORKER = 16;
const KEEP_ALIVE_MILLIS = 30_000;
/** Sends of one request that fit into the time its caller waits. */
const SENDS_IN_DEADLINE = 3;
const SHORTEST_WAIT_MILLIS = 250;

/** What the client of the workers is given. */
export interface WorkerClientOptions {
  /** Longest wait for the answer to an exchange. */
  readonly exchangeMillis: number;
  readonly now: () => number;
}

/** Carries exchanges and requests to the workers, and answers back. */
export function createWorkerClientPlugin(options: WorkerClientOptions): Plugin {
  return kernel => {
    const agent = new Agent({
      connections: CONNECTIONS_TO_WORKER,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLIS,
    });
    return mergeUnregister(
      () => void agent.close(),
      kernel.registerEffect(EXCHANGE, exchange => {
        void sendExchange(kernel, options, agent, exchange);
      }),
      kernel.registerEffect(EXECUTE, execution => {
        void sendExecution(kernel, options, agent, execution);
      }),
    );
  };
}

async function sendExchange(
  kernel: Kernel,
  {now, exchangeMillis}: WorkerClientOptions,
  dispatcher: Agent,
  exchange: PayloadOf<typeof EXCHANGE>,
): Promise<void> {
  const {worker, request} = exchange;
  const sentAt = now();
  if (sentAt > exchange.sendBefore) {
    kernel.dispatch(WORKER_SILENT, {worker, detail: 'lease lapsed'});
    return;
  }
  const result = await requestJson({
    url: `http://${exchange.address}/v1/exchange`,
    method: 'POST',
    body: request,
    schema: exchangeAnswerSchema,
    timeoutMillis: exchangeMillis,
    dispatcher,
  });
  if (result.isErr()) {
    const detail = result.error.message;
    kernel.dispatch(WORKER_SILENT, {worker, detail});
    return;
  }
  kernel.dispatch(WORKER_ANSWERED, {
    worker,
    request,
    sentAt,
    receivedAt: now(),
    answer: result.value,
  });
}

async function sendExecution(
  kernel: Kernel,
  {now}: WorkerClientOptions,
  dispatcher: Agent,
  execution: PayloadOf<typeof EXECUTE>,
): Promise<void> {
  const {callId, request, answerBefore, sendBefore} = execution;
  const {attempt} = request;
  const sentAt = now();
  if (sentAt > sendBefore) {
    kernel.dispatch(EXECUTION_SILENT, {callId, attempt, sent: false});
    return;
  }
  const patience = (answerBefore - sentAt) / SENDS_IN_DEADLINE;
  const result = await requestJson({
    url: `http://${execution.address}/v1/execute`,
    method: 'POST',
    body: request,
    schema: executeAnswerSchema,
    timeoutMillis: Math.max(SHORTEST_WAIT_MILLIS, patience),
    dispatcher,
  });
  if (result.isErr()) {
    const sent = result.error.mayHaveTakenEffect;
    kernel.dispatch(EXECUTION_SILENT, {callId, attempt, sent});
    return;
  }
  kernel.dispatch(EXECUTED, {callId, answer: result.value});
}
