import type {Unregister} from './Kernel';

/** Handlers by the identity of their message, in order of registration. */
export class HandlerRegistry<Handler> {
  private readonly handlers = new Map<object, readonly Handler[]>();

  get(key: object): readonly Handler[] {
    return this.handlers.get(key) ?? [];
  }

  add(key: object, handler: Handler): Unregister {
    this.handlers.set(key, [...this.get(key), handler]);
    return () => {
      // Copies the array, as a handler may unregister itself during its call.
      this.handlers.set(
        key,
        this.get(key).filter(other => other !== handler),
      );
    };
  }
}
