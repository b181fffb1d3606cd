import type {IncomingMessage, ServerResponse} from 'node:http';
import {PacedConnection} from './PacedConnection';

/** Memory that a request and its answer take beside the body, in bytes. */
const REQUEST_BYTES = 4096;

/**
 * What a request holds of its host's memory: some from its header until its answer
 * has been sent, which takes as long as the client does not read, and the rest until
 * it is answered.
 */
export class RequestHold {
  private heldBytes = 0;
  private isRead = false;

  constructor(private readonly connection: PacedConnection) {}

  /** Holds further bytes; returns false if there is no memory for them. */
  hold(bytes: number): boolean {
    const isHeld = this.connection.table.hold(this.connection, bytes);
    this.heldBytes += isHeld ? bytes : 0;
    return isHeld;
  }

  /** Notes that the request was read whole: its connection stays until the answer. */
  startHandling(): void {
    this.isRead = true;
    this.connection.table.requestRead(this.connection);
  }

  /** Calls a function if the request has to be given up while it is read. */
  onEvicted(listener: (() => void) | undefined): void {
    this.connection.setEvictionListener(listener);
  }

  /** Releases what is held, once the request is answered. */
  release(): void {
    const {connection} = this;
    connection.table.release(connection, this.heldBytes);
    this.heldBytes = 0;
    if (this.isRead) {
      this.isRead = false;
      connection.table.requestAnswered(connection);
    }
  }
}

/**
 * Returns the hold of a request to a server that `startHttpServer` started; undefined
 * if there is no memory for it.
 */
export function holdRequest(
  {socket}: IncomingMessage,
  answer: ServerResponse,
): RequestHold | undefined {
  const connection: unknown = socket;
  if (!(connection instanceof PacedConnection)) {
    throw new TypeError('the request came over a connection of another server');
  }
  if (!connection.table.hold(connection, REQUEST_BYTES)) {
    return undefined;
  }
  answer.once('close', () =>
    connection.table.release(connection, REQUEST_BYTES),
  );
  return new RequestHold(connection);
}
