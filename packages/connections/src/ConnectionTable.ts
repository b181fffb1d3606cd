import type {ConnectionLimits} from './connectionLimits';

/** Limit for which a connection is closed. */
export type CloseReason = 'connections' | 'memory';

/** Options of `ConnectionTable`. */
export interface ConnectionTableOptions<Connection> extends ConnectionLimits {
  /** Closes a connection, which is no longer in the table. */
  readonly close: (connection: Connection, reason: CloseReason) => void;
}

interface Entry {
  heldBytes: number;
  /** Requests that were read whole and have no answer yet. */
  openRequests: number;
}

/**
 * Keeps the number of connections, and the bytes that their requests hold, within
 * limits. To make room it closes the connection whose last answer, or else its
 * beginning, is the longest ago. A connection with a request that was read whole and
 * has no answer stays.
 */
export class ConnectionTable<Connection> {
  /** In the order of the last answer, the oldest first. */
  private readonly entries = new Map<Connection, Entry>();
  private heldBytes = 0;

  constructor(private readonly options: ConnectionTableOptions<Connection>) {}

  /** Number of open connections. */
  get size(): number {
    return this.entries.size;
  }

  /** Bytes that all requests hold. */
  get totalHeldBytes(): number {
    return this.heldBytes;
  }

  /** Adds a connection. Returns false if there is no room for it. */
  add(connection: Connection): boolean {
    if (
      this.entries.size >= this.options.maxConnections &&
      !this.closeOldest('connections', () => true)
    ) {
      return false;
    }
    this.entries.set(connection, {heldBytes: 0, openRequests: 0});
    return true;
  }

  /** Removes a connection and releases what it holds. */
  remove(connection: Connection): void {
    this.heldBytes -= this.entries.get(connection)?.heldBytes ?? 0;
    this.entries.delete(connection);
  }

  /**
   * Adds bytes to what a connection holds. Returns false, and adds none, if that
   * is over the limit or the connection was closed to keep it.
   */
  hold(connection: Connection, bytes: number): boolean {
    const {maxHeldBytes} = this.options;
    const entry = this.entries.get(connection);
    if (entry === undefined || entry.heldBytes + bytes > maxHeldBytes) {
      return false;
    }
    while (this.heldBytes + bytes > maxHeldBytes) {
      const isClosed = this.closeOldest(
        'memory',
        ({heldBytes}) => heldBytes > 0,
      );
      if (!isClosed || !this.entries.has(connection)) {
        return false;
      }
    }
    entry.heldBytes += bytes;
    this.heldBytes += bytes;
    return true;
  }

  /** Takes bytes off what a connection holds. */
  release(connection: Connection, bytes: number): void {
    const entry = this.entries.get(connection);
    if (entry !== undefined) {
      entry.heldBytes -= bytes;
      this.heldBytes -= bytes;
    }
  }

  /** Notes that a request was read whole, so that its connection stays open. */
  requestRead(connection: Connection): void {
    const entry = this.entries.get(connection);
    if (entry !== undefined) {
      entry.openRequests++;
    }
  }

  /** Notes that a request that was read whole is answered. */
  requestAnswered(connection: Connection): void {
    const entry = this.entries.get(connection);
    if (entry !== undefined) {
      entry.openRequests--;
      this.entries.delete(connection);
      this.entries.set(connection, entry);
    }
  }

  /** Closes the oldest connection that may close; false if there is none. */
  private closeOldest(
    reason: CloseReason,
    isCandidate: (entry: Entry) => boolean,
  ): boolean {
    for (const [connection, entry] of this.entries) {
      if (entry.openRequests === 0 && isCandidate(entry)) {
        this.remove(connection);
        this.options.close(connection, reason);
        return true;
      }
    }
    return false;
  }
}
