/** The kernel: state, commands, effects and the registration of plug-ins. */
export {
  createCommand,
  createEffect,
  type Command,
  type Effect,
  type PayloadOf,
} from './Message';
export {
  createKernel,
  type CommandHandler,
  type EffectHandler,
  type Kernel,
  type KernelOptions,
  type Plugin,
  type StateReader,
  type Unregister,
  type Update,
  type UpdateListener,
  type UpdateSummary,
} from './Kernel';
export {KernelError} from './KernelError';
export {invariant} from './invariant';
export {createListSlice, type List, type ReadonlyList} from './List';
export {mergeUnregister} from './mergeUnregister';
export {
  createIndexedTableSlice,
  createSummarizedTableSlice,
  createTableSlice,
  type IndexedTable,
  type ReadonlyIndexedTable,
  type ReadonlySummarizedTable,
  type ReadonlyTable,
  type RowKey,
  type Summarize,
  type SummarizedTable,
  type Table,
} from './Table';
export {type ChangeRecorder, type SliceDefinition} from './Slice';
export {createValueSlice, type ReadonlyValue, type Value} from './Value';
