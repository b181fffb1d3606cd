import type {ChangeRecorder, SliceDefinition} from './Slice';

/** A value has one part only. */
const WHOLE = '';

/** A single value of the state. */
export interface ReadonlyValue<Type> {
  get(): Type;
}

/** A value that can be replaced inside an update. */
export interface Value<Type> extends ReadonlyValue<Type> {
  set(next: Type): void;
}

class UndoableValue<Type> implements Value<Type> {
  constructor(
    private readonly recorder: ChangeRecorder,
    private current: Type,
  ) {}

  get(): Type {
    return this.current;
  }

  set(next: Type): void {
    const before = this.current;
    this.recorder.recordFirst(WHOLE, () => {
      this.current = before;
    });
    this.current = next;
  }
}

/** Defines a slice that consists of one immutable value. */
export function createValueSlice<Type>(
  name: string,
  initial: Type,
): SliceDefinition<ReadonlyValue<Type>, Value<Type>> {
  return {name, create: recorder => new UndoableValue(recorder, initial)};
}
