/** Receives the way back of every change, so that a failed update is undone. */
export interface ChangeRecorder {
  /** Throws outside an update. */
  record(undo: () => void): void;
}

/**
 * A part of the state. `Reader` is what anyone may see at any time; `Writer`
 * adds the changes, and is handed out inside an update only.
 */
export interface SliceDefinition<Reader, Writer extends Reader> {
  readonly name: string;
  readonly create: (recorder: ChangeRecorder) => Writer;
  /** Carries the reader type; never set. */
  readonly readerType?: Reader;
}
