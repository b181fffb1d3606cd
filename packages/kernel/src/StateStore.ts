import {invariant} from './invariant';
import type {Unregister} from './Kernel';
import type {ChangeRecorder, SliceDefinition} from './Slice';

/** Holds the slices. They change only in an update, which can be rolled back. */
export class StateStore {
  private readonly slices = new Map<object, unknown>();
  /** How to undo the first change to each part of each slice, in this update. */
  private readonly undoSteps = new Map<object, Map<string, () => void>>();
  private isUpdating = false;

  register<Reader, Writer extends Reader>(
    slice: SliceDefinition<Reader, Writer>,
  ): Unregister {
    invariant(
      !this.slices.has(slice),
      `Slice ${slice.name} is already registered`,
    );
    this.slices.set(slice, slice.create(this.createRecorder(slice)));
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
    this.undoSteps.clear();
  }

  rollBack(): void {
    for (const undoByPart of this.undoSteps.values()) {
      undoByPart.forEach(undo => undo());
    }
    this.commit();
  }

  private createRecorder(slice: object): ChangeRecorder {
    return {
      recordFirst: (part, undo) => {
        invariant(this.isUpdating, 'State changed outside an update');
        const undoByPart = this.undoSteps.get(slice) ?? new Map();
        this.undoSteps.set(slice, undoByPart);
        if (!undoByPart.has(part)) {
          undoByPart.set(part, undo);
        }
      },
    };
  }
}
