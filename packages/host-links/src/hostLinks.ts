import {
  Client,
  Server,
  ServerCredentials,
  credentials,
  status,
} from '@grpc/grpc-js';
import {
  type BoundedServerOptions,
  startBoundedServer,
} from '@samphireramp/connections';
import type {Advice} from '@samphireramp/dispatch';
import {decodeValue} from '@samphireramp/record-codec';
import {
  ADVICE_SERVICE,
  type AdviseRequest,
  adviseReplySchema,
  adviseRequestSchema,
} from './adviceService';

const INITIAL_RECONNECT_BACKOFF_MILLIS = 300;
/** A request names one step and at most 100 workers. */
const MAX_REQUEST_BYTES = 65_536;
/** Calls of one host that are answered at a time. */
const MAX_CALLS_PER_CONNECTION = 100;

/** Calls other hosts, over one connection to each. */
export interface HostLinks {
  /**
   * Asks the host at HOST:PORT to forward a request to the adviser. A failed call
   * is not an error: it resolves to advice of kind `failed`.
   */
  advise(address: string, request: AdviseRequest): Promise<Advice>;
  /** Closes all connections. */
  close(): void;
}

/** Creates the client side of the calls between hosts. */
export function createHostLinks(): HostLinks {
  const clients = new Map<string, Client>();

  function clientOf(address: string): Client {
    const existing = clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const client = new Client(address, credentials.createInsecure(), {
      'grpc.initial_reconnect_backoff_ms': INITIAL_RECONNECT_BACKOFF_MILLIS,
      'grpc.max_reconnect_backoff_ms': INITIAL_RECONNECT_BACKOFF_MILLIS * 4,
      // Clients don't share connections, so a new client opens a new one.
      'grpc.use_local_subchannel_pool': 1,
    });
    clients.set(address, client);
    return client;
  }

  function closeClient(address: string, client: Client): void {
    if (clients.get(address) === client) {
      clients.delete(address);
    }
    client.close();
  }

  return {
    advise: (address, request) =>
      new Promise(resolve => {
        const client = clientOf(address);
        const {path, requestSerialize, responseDeserialize} =
          ADVICE_SERVICE.advise;
        client.makeUnaryRequest(
          path,
          requestSerialize,
          responseDeserialize,
          request,
          {deadline: Date.now() + request.timeoutMillis},
          (error, reply) => {
            if (error !== null) {
              // The connection may be dead although it looks open, so the next
              // call opens a new one.
              closeClient(address, client);
              resolve({kind: 'failed', detail: status[error.code]});
              return;
            }
            resolve(
              decodeValue(adviseReplySchema, reply) ?? {
                kind: 'failed',
                detail: 'malformed reply',
              },
            );
          },
        );
      }),
    close: () => {
      for (const client of clients.values()) {
        client.close();
      }
      clients.clear();
    },
  };
}

/** The server side of the calls between hosts. */
export interface HostServer {
  /** Closes the server and all connections to it. */
  close(): void;
}

/** Options of `startHostServer`. */
export interface HostServerOptions extends Omit<
  BoundedServerOptions,
  'onConnection'
> {
  readonly advise: (request: AdviseRequest) => Promise<Advice>;
  /** Called for each request that is invalid. */
  readonly onMalformed: () => void;
}

/** Serves the calls of other hosts. */
export function startHostServer({
  advise,
  onMalformed,
  ...boundedOptions
}: HostServerOptions): HostServer {
  const server = new Server({
    'grpc.max_receive_message_length': MAX_REQUEST_BYTES,
    'grpc.max_concurrent_streams': MAX_CALLS_PER_CONNECTION,
  });
  server.addService(ADVICE_SERVICE, {
    advise: (
      call: {request: unknown},
      reply: (error: {code: status} | null, advice?: Advice) => void,
    ) => {
      const request = decodeValue(adviseRequestSchema, call.request);
      if (request === undefined) {
        onMalformed();
        reply({code: status.INVALID_ARGUMENT});
        return;
      }
      advise(request).then(
        advice => reply(null, advice),
        () => reply({code: status.INTERNAL}),
      );
    },
  });
  const injector = server.createConnectionInjector(
    ServerCredentials.createInsecure(),
  );
  const listener = startBoundedServer({
    ...boundedOptions,
    onConnection: socket => injector.injectConnection(socket),
  });
  return {
    close: () => {
      listener.close();
      server.forceShutdown();
    },
  };
}
