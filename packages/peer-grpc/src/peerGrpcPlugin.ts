import {
  Server,
  type ServerDuplexStream,
  ServerCredentials,
  credentials,
} from '@grpc/grpc-js';
import {type Kernel, type Plugin, mergeUnregister} from '@samphireramp/kernel';
import {
  type OwnIdentity,
  PEER_MESSAGE,
  SEND_TO_PEER,
} from '@samphireramp/membership';
import type {PeerMessage} from '@samphireramp/model';
import {CALL_NOT_SENT} from '@samphireramp/routing';
import {PeerConnection} from './PeerConnection';
import {
  PEER_SERVICE,
  type RawEnvelope,
  type Receipt,
  checkEnvelope,
} from './peerService';

/** Receipts are written at most this often. */
const RECEIPT_MILLIS = 500;
const CHECK_MILLIS = 500;
const LARGEST_MESSAGE_BYTES = 32 * 1024 * 1024;

/** Keys for mutual authentication between entry hosts, in PEM. */
export interface PeerKeys {
  readonly certificate: Buffer;
  readonly key: Buffer;
  readonly authority: Buffer;
}

/** What the front end for other entry hosts is given. */
export interface PeerGrpcOptions {
  readonly self: OwnIdentity;
  readonly keys: PeerKeys | undefined;
  readonly now: () => number;
  readonly onEvent: (event: string, detail: string) => void;
}

/** The front end for other entry hosts. */
export interface PeerGrpc {
  readonly plugin: Plugin;
  listen(): Promise<number>;
}

/** Creates the front end for other entry hosts. */
export function createPeerGrpc(options: PeerGrpcOptions): PeerGrpc {
  const server = new Server({
    'grpc.max_receive_message_length': LARGEST_MESSAGE_BYTES,
  });
  const connections = new Map<string, PeerConnection>();

  function connectionTo(kernel: Kernel, address: string): PeerConnection {
    const known = connections.get(address);
    if (known !== undefined) {
      return known;
    }
    const connection = new PeerConnection({
      ...options,
      address,
      credentials: clientCredentials(options.keys),
      onNotSent: messages => tellNotSent(kernel, messages),
    });
    connections.set(address, connection);
    return connection;
  }

  const plugin: Plugin = kernel => {
    server.addService(PEER_SERVICE, {
      exchange: (stream: ServerDuplexStream<RawEnvelope, Receipt>) =>
        serveStream(kernel, options, stream),
    });
    const timer = setInterval(
      () => connections.forEach(connection => connection.checkProgress()),
      CHECK_MILLIS,
    );
    return mergeUnregister(
      () => clearInterval(timer),
      () => server.forceShutdown(),
      () => connections.forEach(connection => connection.close()),
      kernel.registerEffect(SEND_TO_PEER, ({address, message}) =>
        connectionTo(kernel, address).send(message),
      ),
    );
  };

  return {plugin, listen: () => bind(server, options)};
}

function bind(server: Server, options: PeerGrpcOptions): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(
      options.self.peerAddress,
      serverCredentials(options.keys),
      (error, port) => (error ? reject(error) : resolve(port)),
    );
  });
}

function serveStream(
  kernel: Kernel,
  options: PeerGrpcOptions,
  stream: ServerDuplexStream<RawEnvelope, Receipt>,
): void {
  let received = 0;
  let timer: NodeJS.Timeout | undefined;

  function writeReceipt(): void {
    timer = undefined;
    stream.write({received});
  }

  stream.on('data', (raw: RawEnvelope) => {
    received++;
    timer ??= setTimeout(writeReceipt, RECEIPT_MILLIS);
    const checked = checkEnvelope(raw);
    if (checked.isErr()) {
      options.onEvent('peer-malformed', checked.error.message);
      return;
    }
    const {from, messages} = checked.value;
    for (const message of messages) {
      kernel.dispatch(PEER_MESSAGE, {from, message});
    }
  });
  stream.on('error', error => options.onEvent('peer-stream', error.message));
  stream.on('end', () => {
    clearTimeout(timer);
    stream.end();
  });
}

function tellNotSent(kernel: Kernel, messages: readonly PeerMessage[]): void {
  for (const message of messages) {
    if (message.type === 'call') {
      kernel.dispatch(CALL_NOT_SENT, {sendId: message.callId});
    }
  }
}

function clientCredentials(keys: PeerKeys | undefined) {
  return keys === undefined
    ? credentials.createInsecure()
    : credentials.createSsl(keys.authority, keys.key, keys.certificate);
}

function serverCredentials(keys: PeerKeys | undefined): ServerCredentials {
  if (keys === undefined) {
    return ServerCredentials.createInsecure();
  }
  const {authority, key: private_key, certificate: cert_chain} = keys;
  return ServerCredentials.createSsl(
    authority,
    [{private_key, cert_chain}],
    true,
  );
}
