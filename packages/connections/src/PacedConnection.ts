import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import type {CloseReason, ConnectionTable} from './ConnectionTable';
import type {TurnQueue} from './turnQueue';

/** Bytes of its input that a connection passes on in one turn. */
const TURN_BYTES = 4096;
const NO_INPUT = Buffer.alloc(0);

/** What a paced connection shares with the others of its server. */
export interface PacedConnectionOptions {
  readonly table: ConnectionTable<PacedConnection>;
  readonly turns: TurnQueue;
}

/**
 * A connection whose input is passed on in small pieces, in turn with that of the
 * others, so that no client keeps the loop from them: what a piece costs depends on
 * what the client sends, such as chunks of one byte or many requests at once.
 */
export class PacedConnection extends Duplex {
  readonly table: ConnectionTable<PacedConnection>;
  private readonly turns: TurnQueue;
  /** Input that was received and not passed on; the table holds its bytes. */
  private input: Buffer = NO_INPUT;
  private hasInputEnded = false;
  private isTurnWaiting = false;
  private wantsInput = false;
  private isEvicted = false;
  private evictionListener: (() => void) | undefined;

  constructor(
    private readonly socket: Socket,
    {table, turns}: PacedConnectionOptions,
  ) {
    super({
      readableHighWaterMark: TURN_BYTES,
      decodeStrings: false,
      emitClose: true,
    });
    this.table = table;
    this.turns = turns;
    socket.pause();
    socket.on('data', bytes => this.onInput(bytes));
    socket.on('end', () => {
      this.hasInputEnded = true;
      this.addTurn();
    });
    socket.on('error', error => this.destroy(error));
    socket.on('close', () => this.destroy());
    socket.on('timeout', () => this.emit('timeout'));
  }

  /** Sets the time without traffic after which `timeout` is emitted. */
  setTimeout(millis: number, listener?: () => void): this {
    this.socket.setTimeout(millis);
    if (listener !== undefined) {
      this.once('timeout', listener);
    }
    return this;
  }

  /** Closes the connection once everything is sent. */
  destroySoon(): void {
    this.end();
    if (this.writableFinished) {
      this.destroy();
    } else {
      this.once('finish', () => this.destroy());
    }
  }

  /** Replaces what `evict` does while a request of the connection is read. */
  setEvictionListener(listener: (() => void) | undefined): void {
    this.evictionListener = listener;
  }

  /** Gives up the connection to keep a limit; whoever reads a body can answer. */
  evict(reason: CloseReason): void {
    this.input = NO_INPUT;
    this.isEvicted = true;
    if (reason === 'memory' && this.evictionListener !== undefined) {
      this.evictionListener();
    } else {
      this.destroy();
    }
  }

  override _read(): void {
    this.wantsInput = true;
    this.addTurn();
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.socket.write(chunk, encoding, callback);
  }

  override _writev(
    chunks: ReadonlyArray<{
      readonly chunk: Buffer | string;
      readonly encoding: BufferEncoding;
    }>,
    callback: (error?: Error | null) => void,
  ): void {
    this.socket.cork();
    chunks.forEach(({chunk, encoding}, index) =>
      index < chunks.length - 1
        ? this.socket.write(chunk, encoding)
        : this.socket.write(chunk, encoding, callback),
    );
    this.socket.uncork();
  }

  override _final(callback: () => void): void {
    this.socket.end(callback);
  }

  override _destroy(
    error: Error | null,
    callback: (error: Error | null) => void,
  ): void {
    this.table.remove(this);
    this.input = NO_INPUT;
    this.socket.destroy();
    callback(error);
  }

  private onInput(bytes: Buffer): void {
    this.socket.pause();
    if (this.table.hold(this, bytes.length)) {
      this.input = bytes;
      this.addTurn();
    } else if (!this.isEvicted) {
      // Requests that were read whole hold all the memory.
      this.evict('memory');
    }
  }

  private addTurn(): void {
    if (!this.isTurnWaiting) {
      this.isTurnWaiting = true;
      this.turns.add(() => this.takeTurn());
    }
  }

  /** Passes on a piece of the input, or else asks the socket for more. */
  private takeTurn(): void {
    this.isTurnWaiting = false;
    if (this.destroyed || !this.wantsInput) {
      return;
    }
    if (this.input.length > 0) {
      this.passOnInput();
    } else if (this.hasInputEnded) {
      this.push(null);
    } else {
      this.socket.resume();
    }
  }

  private passOnInput(): void {
    const piece = this.input.subarray(0, TURN_BYTES);
    this.input = this.input.subarray(piece.length);
    this.table.release(this, piece.length);
    this.wantsInput = this.push(piece);
    if (this.wantsInput) {
      this.addTurn();
    }
  }
}
