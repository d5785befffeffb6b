/** One line of a trace: the reducer and its initial state, an event with the stated actions, or the stated end. */
export type TraceLine =
  | {
      readonly type: 'trace';
      readonly name: string;
      /** What is easy to get wrong here. */
      readonly about: string;
      readonly reducer: ReducerName;
      readonly initial: unknown;
    }
  | {
      readonly type: 'event';
      readonly atMs: number;
      readonly event: Readonly<Record<string, unknown>>;
      /** Stated actions, in order; a stated action may leave out fields that do not matter. */
      readonly actions: readonly unknown[];
    }
  /** Stated fields of the state after the last event. */
  | { readonly type: 'outcome'; readonly state: unknown };

/** Reducers that traces can be replayed through. */
export type ReducerName = 'request' | 'shard' | 'poison' | 'membership';

/** Result of one event as plain JSON. */
export interface ReplayStep<State> {
  readonly state: State;
  readonly actions: readonly unknown[];
}

/** Adapts one reducer to traces. */
export interface Replayer<State> {
  start(initial: unknown): State;
  advance(state: State, event: Readonly<Record<string, unknown>>, atMs: number): ReplayStep<State>;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly name: string;
  readonly events: number;
  /** Where actions or outcome differ from the stated ones. */
  readonly differences: readonly string[];
}
