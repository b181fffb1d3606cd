/** A typed request to change state. Its payload type is carried by the value. */
export interface Command<Payload> {
  readonly kind: 'command';
  readonly name: string;
  /** Carries the payload type; never set. */
  readonly payloadType?: Payload;
}

/** A typed request to act outside the state, run after an update commits. */
export interface Effect<Payload> {
  readonly kind: 'effect';
  readonly name: string;
  /** Carries the payload type; never set. */
  readonly payloadType?: Payload;
}

/** Creates a command; identity, not the name, is what handlers match. */
export function createCommand<Payload>(name: string): Command<Payload> {
  return {kind: 'command', name};
}

/** Creates an effect; identity, not the name, is what handlers match. */
export function createEffect<Payload>(name: string): Effect<Payload> {
  return {kind: 'effect', name};
}

/** The payload type of a command or an effect. */
export type PayloadOf<Type> = Type extends {payloadType?: infer Payload}
  ? NonNullable<Payload>
  : never;
