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

/** An indexed table that keeps a summary of the rows of each key. */
export interface ReadonlySummarizedTable<
  Row,
  Summary,
> extends ReadonlyIndexedTable<Row> {
  /** Summary of the rows with a key: computed once for as long as they stay the same. */
  summaryOf(key: string): Summary;
  /** Summaries of all keys that have rows. */
  summaries(): IterableIterator<Summary>;
}

/** A summarized table that can be changed inside an update. */
export interface SummarizedTable<Row, Summary>
  extends ReadonlySummarizedTable<Row, Summary>, IndexedTable<Row> {}

/** Derives the index key of a row; undefined leaves the row out of the index. */
export type RowKey<Row> = (row: Row) => string | undefined;

/** Summarizes the rows with a key, which may be none. */
export type Summarize<Row, Summary> = (rows: readonly Row[]) => Summary;

class UndoableTable<Row, Summary> implements SummarizedTable<Row, Summary> {
  private readonly rows = new Map<string, Row>();
  private readonly idsByKey = new Map<string, Set<string>>();
  /** Summaries of keys whose rows have not changed since. */
  private readonly summaryByKey = new Map<string, Summary>();
  private readonly emptySummary: Summary;

  constructor(
    private readonly recorder: ChangeRecorder,
    private readonly keyOf: RowKey<Row>,
    private readonly summarize: Summarize<Row, Summary>,
  ) {
    this.emptySummary = summarize([]);
  }

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

  summaryOf(key: string): Summary {
    if (!this.idsByKey.has(key)) {
      return this.emptySummary;
    }
    const known = this.summaryByKey.get(key);
    if (known !== undefined) {
      return known;
    }
    const summary = this.summarize(this.withKey(key));
    this.summaryByKey.set(key, summary);
    return summary;
  }

  *summaries(): IterableIterator<Summary> {
    for (const key of this.idsByKey.keys()) {
      yield this.summaryOf(key);
    }
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
    this.forgetSummary(oldKey);
    this.forgetSummary(newKey);
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

  private forgetSummary(key: string | undefined): void {
    if (key !== undefined) {
      this.summaryByKey.delete(key);
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

function summarizeNothing(): undefined {
  return undefined;
}

/** Defines a slice that consists of one table. */
export function createTableSlice<Row>(
  name: string,
): SliceDefinition<ReadonlyTable<Row>, Table<Row>> {
  return createIndexedTableSlice(name, () => undefined);
}

/** Defines a slice that consists of one table with an index. */
export function createIndexedTableSlice<Row>(
  name: string,
  keyOf: RowKey<Row>,
): SliceDefinition<ReadonlyIndexedTable<Row>, IndexedTable<Row>> {
  return createSummarizedTableSlice(name, keyOf, summarizeNothing);
}

/**
 * Defines a slice that consists of one table with an index and a summary of the rows of
 * each key. A summary must depend on these rows only.
 */
export function createSummarizedTableSlice<Row, Summary>(
  name: string,
  keyOf: RowKey<Row>,
  summarize: Summarize<Row, Summary>,
): SliceDefinition<
  ReadonlySummarizedTable<Row, Summary>,
  SummarizedTable<Row, Summary>
> {
  return {
    name,
    create: recorder => new UndoableTable(recorder, keyOf, summarize),
  };
}
