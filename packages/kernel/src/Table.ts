import type {ChangeRecorder, SliceDefinition} from './Slice';

/** Rows by identifier. Rows are values: replaced, never changed in place. */
export interface ReadonlyTable<Row> {
  readonly size: number;
  get(id: string): Row | undefined;
  has(id: string): boolean;
  values(): IterableIterator<Row>;
  keys(): IterableIterator<string>;
}

/** A table that can be changed, inside an update. */
export interface Table<Row> extends ReadonlyTable<Row> {
  set(id: string, row: Row): void;
  delete(id: string): void;
}

class RecordedTable<Row> implements Table<Row> {
  private readonly rows = new Map<string, Row>();

  constructor(private readonly recorder: ChangeRecorder) {}

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

  set(id: string, row: Row): void {
    const before = this.rows.get(id);
    this.recorder.record(() => this.restore(id, before));
    this.rows.set(id, row);
  }

  delete(id: string): void {
    const before = this.rows.get(id);
    if (before === undefined) {
      return;
    }
    this.recorder.record(() => this.restore(id, before));
    this.rows.delete(id);
  }

  private restore(id: string, before: Row | undefined): void {
    if (before === undefined) {
      this.rows.delete(id);
    } else {
      this.rows.set(id, before);
    }
  }
}

/** Defines a slice that is one table of rows. */
export function createTableSlice<Row>(
  name: string,
): SliceDefinition<ReadonlyTable<Row>, Table<Row>> {
  return {name, create: recorder => new RecordedTable<Row>(recorder)};
}
