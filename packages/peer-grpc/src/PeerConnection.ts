import {
  Client,
  type ChannelCredentials,
  type ClientDuplexStream,
} from '@grpc/grpc-js';
import type {OwnIdentity} from '@samphireramp/membership';
import type {PeerEnvelope, PeerMessage} from '@samphireramp/model';
import {PEER_SERVICE, type Receipt} from './peerService';

/** Without a receipt for this long, a connection is taken for silent. */
const SILENCE_MILLIS = 3000;
/** Messages that wait for a connection; more are dropped, the oldest first. */
const LONGEST_QUEUE = 10_000;
const RECONNECT_MILLIS = 1000;

/** What a connection to a peer is given. */
export interface PeerConnectionOptions {
  readonly self: OwnIdentity;
  readonly address: string;
  readonly credentials: ChannelCredentials;
  readonly now: () => number;
  /** Told of messages that surely were not sent. */
  readonly onNotSent: (messages: readonly PeerMessage[]) => void;
  readonly onEvent: (event: string, detail: string) => void;
}

/** Sends messages to one peer, in batches over one stream. */
export class PeerConnection {
  private client: Client | undefined;
  private stream: ClientDuplexStream<PeerEnvelope, Receipt> | undefined;
  private queue: PeerMessage[] = [];
  private isFlushPlanned = false;
  private isReady = false;
  private isClosed = false;
  private unreceiptedSince: number | undefined;
  private sent = 0;

  constructor(private readonly options: PeerConnectionOptions) {}

  /** Queues a message; all of one turn of the loop go as one envelope. */
  send(message: PeerMessage): void {
    if (this.isClosed) {
      this.options.onNotSent([message]);
      return;
    }
    this.queue.push(message);
    if (this.queue.length > LONGEST_QUEUE) {
      this.options.onNotSent(this.queue.splice(0, 1));
    }
    this.open();
    if (!this.isFlushPlanned) {
      this.isFlushPlanned = true;
      setImmediate(() => this.flush());
    }
  }

  /** Starts anew when the stream has gone silent. */
  checkProgress(): void {
    const since = this.unreceiptedSince;
    if (since !== undefined && this.options.now() - since > SILENCE_MILLIS) {
      this.options.onEvent('peer-silent', this.options.address);
      this.reset();
    }
  }

  /** Ends the connection. */
  close(): void {
    this.isClosed = true;
    this.flush();
    this.stream?.end();
    this.client?.close();
  }

  private open(): void {
    if (this.client !== undefined) {
      return;
    }
    const client = new Client(this.options.address, this.options.credentials, {
      'grpc.max_reconnect_backoff_ms': RECONNECT_MILLIS,
      'grpc.initial_reconnect_backoff_ms': RECONNECT_MILLIS / 4,
      // Each client has a connection of its own, so that a new one is fresh.
      'grpc.use_local_subchannel_pool': 1,
    });
    this.client = client;
    client.waitForReady(Date.now() + RECONNECT_MILLIS, error => {
      if (this.client === client) {
        this.onReady(client, error);
      }
    });
  }

  private onReady(client: Client, error: Error | undefined): void {
    if (error !== undefined) {
      this.options.onEvent('peer-unreachable', this.options.address);
      this.options.onNotSent(this.queue.splice(0));
      this.reset();
      return;
    }
    this.isReady = true;
    this.openStream(client);
    this.flush();
  }

  private openStream(client: Client): void {
    const {path, requestSerialize, responseDeserialize} = PEER_SERVICE.exchange;
    const stream = client.makeBidiStreamRequest(
      path,
      requestSerialize,
      responseDeserialize,
    );
    stream.on('data', (receipt: Receipt) => this.onReceipt(receipt));
    stream.on('error', error => this.onEnd(stream, error.message));
    stream.on('end', () => this.onEnd(stream, 'ended'));
    this.stream = stream;
    this.sent = 0;
  }

  private onReceipt({received}: Receipt): void {
    this.unreceiptedSince =
      received >= this.sent ? undefined : this.options.now();
  }

  private onEnd(stream: object, detail: string): void {
    if (this.stream === stream && !this.isClosed) {
      this.options.onEvent('peer-disconnected', detail);
      this.reset();
    }
  }

  private flush(): void {
    this.isFlushPlanned = false;
    if (!this.isReady || this.queue.length === 0 || !this.stream) {
      return;
    }
    const {name, zone} = this.options.self;
    const messages = this.queue;
    this.queue = [];
    this.stream.write({from: name, zone, messages});
    this.sent++;
    this.unreceiptedSince ??= this.options.now();
  }

  private reset(): void {
    const {client, stream} = this;
    this.client = undefined;
    this.stream = undefined;
    this.isReady = false;
    this.unreceiptedSince = undefined;
    stream?.cancel();
    client?.close();
    if (this.queue.length > 0 && !this.isClosed) {
      this.open();
    }
  }
}
