import {invariant} from './invariant';
import type {Command, Effect} from './Message';
import {HandlerRegistry} from './HandlerRegistry';
import type {SliceDefinition} from './Slice';
import {StateStore} from './StateStore';

/** Undoes one registration. */
export type Unregister = () => void;

/** Read access to the state, inside and outside an update. */
export interface StateReader {
  read<Reader, Writer extends Reader>(
    slice: SliceDefinition<Reader, Writer>,
  ): Reader;
}

/** The operations available to a command handler during an update. */
export interface Update extends StateReader {
  /** Milliseconds of the runtime's monotonic clock when the update began. */
  readonly now: number;
  write<Reader, Writer extends Reader>(
    slice: SliceDefinition<Reader, Writer>,
  ): Writer;
  /** Runs `command` later in this same update. */
  dispatch<Payload>(command: Command<Payload>, payload: Payload): void;
  /**
   * Like `dispatch`, unless the same command with this key is already queued in
   * this update.
   */
  dispatchOnce<Payload>(
    command: Command<Payload>,
    key: string,
    payload: Payload,
  ): void;
  /** Runs `effect` after this update has committed. */
  emit<Payload>(effect: Effect<Payload>, payload: Payload): void;
}

/** Handles a command. Returning true skips the handlers registered later. */
export type CommandHandler<Payload> = (
  update: Update,
  payload: Payload,
) => boolean | void;

/**
 * Performs an effect. Its result, if any, is dispatched as a command. It may return
 * a promise, whose rejection is reported like an error.
 */
export type EffectHandler<Payload> = (payload: Payload) => void;

/** Describes a committed update to listeners. */
export interface UpdateSummary {
  /** Names of the commands that ran, in order. */
  readonly commands: readonly string[];
  /** Milliseconds of the runtime's monotonic clock. */
  readonly startedAt: number;
}

/** Called after each committed update. */
export type UpdateListener = (summary: UpdateSummary) => void;

/** Registers a feature with the kernel; returns a function that undoes it. */
export type Plugin = (kernel: Kernel) => Unregister;

/** Owns the state, and runs commands and effects one at a time. */
export interface Kernel extends StateReader {
  register(plugin: Plugin): Unregister;
  registerSlice<Reader, Writer extends Reader>(
    slice: SliceDefinition<Reader, Writer>,
  ): Unregister;
  registerCommand<Payload>(
    command: Command<Payload>,
    handler: CommandHandler<Payload>,
  ): Unregister;
  registerEffect<Payload>(
    effect: Effect<Payload>,
    handler: EffectHandler<Payload>,
  ): Unregister;
  registerUpdateListener(listener: UpdateListener): Unregister;
  /**
   * Runs a command in an update of its own, which has ended when this returns.
   * If a handler or listener calls this, the command is queued instead, and runs
   * after the current update, its effects and its listeners. Returns false if the
   * update was rolled back, since a handler threw an error.
   */
  dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean;
}

/** Options of `createKernel`. */
export interface KernelOptions {
  /** Milliseconds of the runtime's monotonic clock. */
  readonly now: () => number;
  /**
   * Called with an error that a handler threw. The source is the name of the
   * effect or, for a command handler, of the command that began the update.
   */
  readonly onError: (error: unknown, source: string) => void;
}

interface QueuedCommand {
  readonly command: Command<unknown>;
  readonly payload: unknown;
  /** Set by `dispatchOnce`: the name of the command and its key. */
  readonly onceKey?: string;
}

interface QueuedEffect {
  readonly effect: Effect<unknown>;
  readonly payload: unknown;
}

/** Creates a kernel with no state and no plug-ins. */
export function createKernel(options: KernelOptions): Kernel {
  const store = new StateStore();
  const commandHandlers = new HandlerRegistry<CommandHandler<never>>();
  const effectHandlers = new HandlerRegistry<EffectHandler<never>>();
  const listeners = new Set<UpdateListener>();
  /** Commands that each begin an update of their own. */
  const queue: QueuedCommand[] = [];
  let isDraining = false;

  /** Runs a command and those that handlers dispatch; collects the effects. */
  function runCommands(first: QueuedCommand, effects: QueuedEffect[]) {
    const pending: QueuedCommand[] = [first];
    const startedAt = options.now();
    const queuedOnceKeys = new Set<string>();
    const update: Update = {
      now: startedAt,
      read: slice => store.read(slice),
      write: slice => store.write(slice),
      dispatch: (command, payload) => {
        pending.push({command: command as Command<unknown>, payload});
      },
      dispatchOnce: (command, key, payload) => {
        const onceKey = `${command.name} ${key}`;
        if (!queuedOnceKeys.has(onceKey)) {
          queuedOnceKeys.add(onceKey);
          const item = {command: command as Command<unknown>, payload};
          pending.push({...item, onceKey});
        }
      },
      emit: (effect, payload) => {
        effects.push({effect: effect as Effect<unknown>, payload});
      },
    };
    for (let index = 0; index < pending.length; index++) {
      const {command, payload, onceKey} = pending[index];
      if (onceKey !== undefined) {
        queuedOnceKeys.delete(onceKey);
      }
      runHandlers(update, command, payload);
    }
    return {commands: pending.map(item => item.command.name), startedAt};
  }

  function runHandlers(
    update: Update,
    command: Command<unknown>,
    payload: unknown,
  ): void {
    const handlers = commandHandlers.get(command);
    invariant(handlers.length > 0, `No handler for command ${command.name}`);
    for (const handler of handlers) {
      if (handler(update, payload as never) === true) {
        return;
      }
    }
  }

  /**
   * Runs one update: commits it and runs its effects, or rolls it back and returns
   * false.
   */
  function runUpdate(first: QueuedCommand): boolean {
    const effects: QueuedEffect[] = [];
    let summary: UpdateSummary;
    store.begin();
    try {
      summary = runCommands(first, effects);
    } catch (error) {
      store.rollBack();
      options.onError(error, first.command.name);
      return false;
    }
    store.commit();
    for (const {effect, payload} of effects) {
      runEffect(effect, payload);
    }
    for (const listener of listeners) {
      listener(summary);
    }
    return true;
  }

  function runEffect(effect: Effect<unknown>, payload: unknown): void {
    for (const handler of effectHandlers.get(effect)) {
      try {
        const result: unknown = handler(payload as never);
        if (result instanceof Promise) {
          result.catch(error => options.onError(error, effect.name));
        }
      } catch (error) {
        options.onError(error, effect.name);
      }
    }
  }

  /** Runs the queued commands; returns false if the first is rolled back. */
  function drain(): boolean {
    isDraining = true;
    let isFirstCommitted: boolean | undefined;
    try {
      for (let next = queue.shift(); next; next = queue.shift()) {
        const isCommitted = runUpdate(next);
        isFirstCommitted ??= isCommitted;
      }
      return isFirstCommitted ?? true;
    } finally {
      isDraining = false;
    }
  }

  const kernel: Kernel = {
    read: slice => store.read(slice),
    register: plugin => plugin(kernel),
    registerSlice: slice => store.register(slice),
    registerCommand: (command, handler) =>
      commandHandlers.add(command, handler as CommandHandler<never>),
    registerEffect: (effect, handler) =>
      effectHandlers.add(effect, handler as EffectHandler<never>),
    registerUpdateListener: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    dispatch: (command, payload) => {
      queue.push({command: command as Command<unknown>, payload});
      return isDraining || drain();
    },
  };
  return kernel;
}
