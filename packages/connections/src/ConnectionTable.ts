import type {ConnectionLimits} from './connectionLimits';

/** Limit for which a connection is closed. */
export type CloseReason = 'connections';

/** Options of `ConnectionTable`. */
export interface ConnectionTableOptions<Connection> extends ConnectionLimits {
  /** Closes a connection, which is no longer in the table. */
  readonly close: (connection: Connection, reason: CloseReason) => void;
}

/**
 * Keeps the number of connections within a limit: to make room it closes the one
 * that began first.
 */
export class ConnectionTable<Connection> {
  /** In the order of their beginnings. */
  private readonly connections = new Set<Connection>();

  constructor(private readonly options: ConnectionTableOptions<Connection>) {}

  /** Adds a connection. */
  add(connection: Connection): void {
    const {maxConnections, close} = this.options;
    const [oldest] = this.connections;
    if (this.connections.size >= maxConnections) {
      this.connections.delete(oldest);
      close(oldest, 'connections');
    }
    this.connections.add(connection);
  }

  /** Removes a connection. */
  remove(connection: Connection): void {
    this.connections.delete(connection);
  }
}
