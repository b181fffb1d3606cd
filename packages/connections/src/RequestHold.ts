import type {IncomingMessage} from 'node:http';
import {PacedConnection} from './PacedConnection';

/** Memory that handling a request takes beside its body, in bytes. */
const HANDLING_BYTES = 4096;

/** What a request holds of its host's memory, from its header to its answer. */
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

  /**
   * Notes that the request was read whole: its connection stays open until it is
   * answered. Returns false if there is no memory to handle it.
   */
  startHandling(): boolean {
    if (!this.hold(HANDLING_BYTES)) {
      return false;
    }
    this.isRead = true;
    this.connection.table.requestRead(this.connection);
    return true;
  }

  /** Calls a function if the request has to be given up while it is read. */
  onEvicted(listener: (() => void) | undefined): void {
    this.connection.setEvictionListener(listener);
  }

  /** Releases everything, once the request is answered. */
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

/** Returns the hold of a request to a server that `startHttpServer` started. */
export function holdRequest({socket}: IncomingMessage): RequestHold {
  const connection: unknown = socket;
  if (!(connection instanceof PacedConnection)) {
    throw new TypeError('the request came over a connection of another server');
  }
  return new RequestHold(connection);
}
