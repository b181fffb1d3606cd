import {type Socket, connect} from 'node:net';

/** Interval at which the state of a crowd is checked. */
const CHECK_INTERVAL_MILLIS = 50;
/** Connections that are opened at a time. */
const CONNECTIONS_AT_A_TIME = 50;

/** What each client of a crowd does with its only connection. */
export interface CrowdScript {
  /** Number of clients. */
  readonly clients: number;
  /** Returns the bytes that a client sends, piece by piece. */
  readonly pieces: (client: number) => Iterable<Buffer>;
  /** Whether clients read what the server sends; otherwise it piles up. */
  readonly reads: boolean;
}

/** Clients that have sent all they send, but leave their connections open. */
export interface Crowd {
  /** Connections that the server has not closed. */
  readonly openConnections: () => number;
  /** What the server has sent to each client. */
  readonly answers: () => readonly string[];
  /**
   * Resolves once each client has sent everything or lost its connection, or the
   * time is over: a server may stop reading.
   */
  finish(timeoutMillis: number): Promise<void>;
  /** Closes all connections. */
  close(): void;
}

interface CrowdClient {
  readonly socket: Socket;
  answer: string;
  hasSent: boolean;
}

/** Opens a connection for each client and sends what its script says. */
export async function startCrowd(
  address: string,
  {clients: count, pieces, reads}: CrowdScript,
): Promise<Crowd> {
  const clients: CrowdClient[] = [];
  for (let index = 0; index < count; index++) {
    clients.push(startClient(address, pieces(index), reads));
    if (index % CONNECTIONS_AT_A_TIME === 0) {
      await sleep(1);
    }
  }
  const isFinished = ({socket, hasSent}: CrowdClient) =>
    hasSent || socket.destroyed;
  return {
    openConnections: () =>
      clients.filter(({socket}) => !socket.destroyed && !socket.connecting)
        .length,
    answers: () => clients.map(({answer}) => answer),
    finish: async timeoutMillis => {
      const deadline = performance.now() + timeoutMillis;
      while (!clients.every(isFinished) && performance.now() < deadline) {
        await sleep(CHECK_INTERVAL_MILLIS);
      }
    },
    close: () => clients.forEach(({socket}) => socket.destroy()),
  };
}

function startClient(
  address: string,
  pieces: Iterable<Buffer>,
  reads: boolean,
): CrowdClient {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const client: CrowdClient = {socket, answer: '', hasSent: false};
  // The server may reset a connection; its end is noticed by `destroyed`.
  socket.on('error', () => undefined);
  if (reads) {
    socket.on('data', bytes => {
      client.answer += bytes.toString('latin1');
    });
  } else {
    socket.pause();
  }
  void sendPieces(client, pieces);
  return client;
}

/** Sends pieces as fast as the server takes them, until it closes. */
async function sendPieces(
  client: CrowdClient,
  pieces: Iterable<Buffer>,
): Promise<void> {
  const {socket} = client;
  let resume: () => void = () => undefined;
  socket.on('drain', () => resume());
  socket.on('close', () => resume());
  for (const piece of pieces) {
    if (socket.destroyed) {
      return;
    }
    if (!socket.write(piece)) {
      await new Promise<void>(resolve => {
        resume = resolve;
      });
    }
  }
  client.hasSent = true;
}

/** Encodes a request whose body comes in chunks, without the chunks. */
export function encodeChunkedHead(path: string, method = 'POST'): Buffer {
  return Buffer.from(
    `${method} ${path} HTTP/1.1\r\nhost: jobs.example\r\ntransfer-encoding: chunked\r\n\r\n`,
  );
}

/** Encodes a request with a body of an announced length, without the body. */
export function encodeAnnouncedHead(path: string, bodyBytes: number): Buffer {
  return Buffer.from(
    `POST ${path} HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
  );
}

/** Encodes bytes of a body as one chunk. */
export function encodeChunk(bytes: string): Buffer {
  return Buffer.from(`${bytes.length.toString(16)}\r\n${bytes}\r\n`);
}

/** Yields a piece a number of times. */
export function* repeat(piece: Buffer, times: number): Iterable<Buffer> {
  for (let count = 0; count < times; count++) {
    yield piece;
  }
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, millis);
  });
}
