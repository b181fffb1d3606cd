/** Records how to undo each change, so that a failed update is rolled back. */
export interface ChangeRecorder {
  /**
   * Records how to undo the first change to a part of the slice in this update.
   * Later changes to that part are undone with it, so that nothing is kept for
   * them. Throws outside an update.
   */
  recordFirst(part: string, undo: () => void): void;
}

/**
 * Defines a part of the state. `Reader` is its read-only interface, available at
 * any time; `Writer` adds mutations, and is available only inside an update.
 */
export interface SliceDefinition<Reader, Writer extends Reader> {
  readonly name: string;
  /** Creates the initial state. */
  readonly create: (recorder: ChangeRecorder) => Writer;
  /** Carries the reader type for inference; never set. */
  readonly readerType?: Reader;
}
