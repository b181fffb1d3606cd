import type {ChangeRecorder, SliceDefinition} from './Slice';

/** A list has one part only. */
const WHOLE = '';

/** A list of items in the order in which they were appended. */
export interface ReadonlyList {
  readonly size: number;
}

/** A list that can be changed inside an update. An append copies nothing. */
export interface List<Item> extends ReadonlyList {
  append(item: Item): void;
  /** Removes all items, and returns them. */
  takeAll(): readonly Item[];
}

class UndoableList<Item> implements List<Item> {
  private items: Item[] = [];

  constructor(private readonly recorder: ChangeRecorder) {}

  get size(): number {
    return this.items.length;
  }

  append(item: Item): void {
    this.recordChange();
    this.items.push(item);
  }

  takeAll(): readonly Item[] {
    this.recordChange();
    const {items} = this;
    this.items = [];
    return items;
  }

  private recordChange(): void {
    const {items} = this;
    const {length} = items;
    this.recorder.recordFirst(WHOLE, () => {
      items.length = length;
      this.items = items;
    });
  }
}

/** Defines a slice that consists of one list. */
export function createListSlice<Item>(
  name: string,
): SliceDefinition<ReadonlyList, List<Item>> {
  return {name, create: recorder => new UndoableList<Item>(recorder)};
}
