import {invariant} from './invariant';
import type {Unregister} from './Kernel';
import type {SliceDefinition} from './Slice';

/** Holds the slices. They change only in an update, which can be rolled back. */
export class StateStore {
  private readonly slices = new Map<object, unknown>();
  private undoSteps: Array<() => void> = [];
  private isUpdating = false;

  register<Reader, Writer extends Reader>(
    slice: SliceDefinition<Reader, Writer>,
  ): Unregister {
    invariant(
      !this.slices.has(slice),
      `Slice ${slice.name} is already registered`,
    );
    this.slices.set(slice, slice.create({record: undo => this.record(undo)}));
    return () => this.slices.delete(slice);
  }

  read<Reader, Writer extends Reader>(
    slice: SliceDefinition<Reader, Writer>,
  ): Reader {
    const value = this.slices.get(slice);
    invariant(value !== undefined, `Slice ${slice.name} is not registered`);
    return value as Reader;
  }

  write<Reader, Writer extends Reader>(
    slice: SliceDefinition<Reader, Writer>,
  ): Writer {
    invariant(this.isUpdating, `Slice ${slice.name} written outside an update`);
    return this.read(slice) as Writer;
  }

  begin(): void {
    invariant(!this.isUpdating, 'An update is already in progress');
    this.isUpdating = true;
  }

  commit(): void {
    this.isUpdating = false;
    this.undoSteps = [];
  }

  rollBack(): void {
    for (const undo of this.undoSteps.reverse()) {
      undo();
    }
    this.commit();
  }

  private record(undo: () => void): void {
    invariant(this.isUpdating, 'State changed outside an update');
    this.undoSteps.push(undo);
  }
}
