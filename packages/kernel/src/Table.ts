import type {ChangeRecorder, SliceDefinition} from './Slice';

/** A map of rows by identifier. Rows are immutable: replaced, never mutated. */
export interface ReadonlyTable<Row> {
  readonly size: number;
  get(id: string): Row | undefined;
  has(id: string): boolean;
  values(): IterableIterator<Row>;
  keys(): IterableIterator<string>;
  /** Identifiers and rows, in the order in which they were first set. */
  entries(): IterableIterator<[string, Row]>;
}

/** A table that can be changed inside an update. */
export interface Table<Row> extends ReadonlyTable<Row> {
  set(id: string, row: Row): void;
  delete(id: string): void;
  /** Deletes all rows. */
  clear(): void;
}

/** A table with an index: rows can also be looked up by a derived key. */
export interface ReadonlyIndexedTable<Row> extends ReadonlyTable<Row> {
  /** The rows with a key, in unspecified order. */
  withKey(key: string): Row[];
}

/** An indexed table that can be changed inside an update. */
export interface IndexedTable<Row>
  extends ReadonlyIndexedTable<Row>, Table<Row> {}

/** Derives the index key of a row; undefined leaves the row out of the index. */
export type RowKey<Row> = (row: Row) => string | undefined;

class UndoableTable<Row> implements IndexedTable<Row> {
  private readonly rows = new Map<string, Row>();
  private readonly idsByKey = new Map<string, Set<string>>();

  constructor(
    private readonly recorder: ChangeRecorder,
    private readonly keyOf: RowKey<Row>,
  ) {}

  get size(): number {
    return this.rows.size;
  }

  get(id: string): Row | undefined {
    return this.rows.get(id);
  }

  has(id: string): boolean {
    return this.rows.has(id);
  }

  values(): IterableIterator<Row> {
    return this.rows.values();
  }

  keys(): IterableIterator<string> {
    return this.rows.keys();
  }

  entries(): IterableIterator<[string, Row]> {
    return this.rows.entries();
  }

  withKey(key: string): Row[] {
    const rows: Row[] = [];
    for (const id of this.idsByKey.get(key) ?? []) {
      const row = this.rows.get(id);
      if (row !== undefined) {
        rows.push(row);
      }
    }
    return rows;
  }

  set(id: string, row: Row): void {
    const before = this.rows.get(id);
    this.recorder.recordFirst(id, () => this.put(id, before));
    this.put(id, row);
  }

  delete(id: string): void {
    const before = this.rows.get(id);
    if (before === undefined) {
      return;
    }
    this.recorder.recordFirst(id, () => this.put(id, before));
    this.put(id, undefined);
  }

  clear(): void {
    for (const id of [...this.rows.keys()]) {
      this.delete(id);
    }
  }

  private put(id: string, row: Row | undefined): void {
    this.reindex(id, this.rows.get(id), row);
    if (row === undefined) {
      this.rows.delete(id);
    } else {
      this.rows.set(id, row);
    }
  }

  private reindex(
    id: string,
    before: Row | undefined,
    after: Row | undefined,
  ): void {
    const oldKey = before && this.keyOf(before);
    const newKey = after && this.keyOf(after);
    if (oldKey === newKey) {
      return;
    }
    if (oldKey !== undefined) {
      this.removeFromIndex(oldKey, id);
    }
    if (newKey !== undefined) {
      const ids = this.idsByKey.get(newKey) ?? new Set();
      this.idsByKey.set(newKey, ids.add(id));
    }
  }

  private removeFromIndex(key: string, id: string): void {
    const ids = this.idsByKey.get(key);
    ids?.delete(id);
    if (ids?.size === 0) {
      this.idsByKey.delete(key);
    }
  }
}

/** Defines a slice that consists of one table. */
export function createTableSlice<Row>(
  name: string,
): SliceDefinition<ReadonlyTable<Row>, Table<Row>> {
  const keyOf = () => undefined;
  return {name, create: recorder => new UndoableTable<Row>(recorder, keyOf)};
}

/** Defines a slice that consists of one table with an index. */
export function createIndexedTableSlice<Row>(
  name: string,
  keyOf: RowKey<Row>,
): SliceDefinition<ReadonlyIndexedTable<Row>, IndexedTable<Row>> {
  return {name, create: recorder => new UndoableTable<Row>(recorder, keyOf)};
}
