/** A typed request to change the state. */
export interface Command<Payload> {
  readonly kind: 'command';
  readonly name: string;
  /** Carries the payload type for inference; never set. */
  readonly payloadType?: Payload;
}

/** A typed request for a side effect, performed after an update commits. */
export interface Effect<Payload> {
  readonly kind: 'effect';
  readonly name: string;
  /** Carries the payload type for inference; never set. */
  readonly payloadType?: Payload;
}

/** Creates a command; handlers match its identity, not its name. */
export function createCommand<Payload>(name: string): Command<Payload> {
  return {kind: 'command', name};
}

/** Creates an effect; handlers match its identity, not its name. */
export function createEffect<Payload>(name: string): Effect<Payload> {
  return {kind: 'effect', name};
}

/** The payload type of a command or an effect. */
export type PayloadOf<Type> = Type extends {payloadType?: infer Payload}
  ? NonNullable<Payload>
  : never;
