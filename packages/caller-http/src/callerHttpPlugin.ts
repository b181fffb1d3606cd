import {serve} from '@hono/node-server';
import {type Plugin} from '@samphireramp/kernel';
import type {CallOutcome, PeerCall} from '@samphireramp/model';
import {ANSWER_CALLER, CALL_ARRIVED} from '@samphireramp/routing';
import type {Server} from 'node:http';
import {createCallerApp} from './callerApp';

/** Open calls of one host at the most; more are refused as not run. */
const MOST_OPEN_CALLS = 4096;
const HEADERS_MILLIS = 10_000;

/** What the callers' front end is given. */
export interface CallerHttpOptions {
  readonly host: string;
  readonly port: number;
  /** Longest time that a caller waits. */
  readonly callMillis: number;
  readonly now: () => number;
  readonly unique: () => string;
  readonly onListening: () => void;
}

/** The callers' front end, and how to end it without cutting off a call. */
export interface CallerHttp {
  readonly plugin: Plugin;
  /** Calls that wait for their outcome. */
  openCalls(): number;
  /** Takes no new connection; resolves when the open calls are answered. */
  drain(): Promise<void>;
}

/** Creates the callers' front end. */
export function createCallerHttp(options: CallerHttpOptions): CallerHttp {
  const waiting = new Map<string, (outcome: CallOutcome) => void>();
  let server: Server | undefined;
  let isDraining = false;

  const plugin: Plugin = kernel => {
    function decide(call: PeerCall): Promise<CallOutcome> {
      if (isDraining || waiting.size >= MOST_OPEN_CALLS) {
        return Promise.resolve(refusal(isDraining));
      }
      const callId = options.unique();
      const deadline = options.now() + options.callMillis;
      return new Promise(resolve => {
        waiting.set(callId, resolve);
        kernel.dispatch(CALL_ARRIVED, {callId, call, deadline, hops: 0});
      });
    }

    const unregister = kernel.registerEffect(
      ANSWER_CALLER,
      ({callId, outcome}) => {
        waiting.get(callId)?.(outcome);
        waiting.delete(callId);
      },
    );
    const app = createCallerApp(decide);
    const {host: hostname, port} = options;
    server = serve(
      {fetch: app.fetch, hostname, port},
      options.onListening,
    ) as Server;
    server.headersTimeout = HEADERS_MILLIS;
    return () => {
      unregister();
      server?.close();
    };
  };

  return {
    plugin,
    openCalls: () => waiting.size,
    drain: () =>
      new Promise(resolve => {
        isDraining = true;
        server?.close(() => resolve());
        server?.closeIdleConnections();
      }),
  };
}

function refusal(isDraining: boolean): CallOutcome {
  return {
    outcome: 'not-run',
    key: '',
    reason: isDraining ? 'stopping' : 'over-limit',
    detail: isDraining
      ? 'this host is stopping; ask another one'
      : `this host has ${MOST_OPEN_CALLS} open calls`,
  };
}
