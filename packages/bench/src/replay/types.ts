/** One line of a trace: reducer and initial state, an event with its expected actions, or the expected final state. */
export type TraceLine =
  | {
      readonly type: 'trace';
      readonly name: string;
      /** The error that the trace guards against. */
      readonly about: string;
      readonly reducer: ReducerName;
      readonly initial: unknown;
    }
  | {
      readonly type: 'event';
      readonly atMs: number;
      readonly event: Readonly<Record<string, unknown>>;
      /** Expected actions, in order; an expected action may leave out fields that do not matter. */
      readonly actions: readonly unknown[];
    }
  /** Expected fields of the state after the last event. */
  | { readonly type: 'outcome'; readonly state: unknown };

/** Reducers that traces can be replayed through. */
export type ReducerName = 'request' | 'shard' | 'poison' | 'membership';

/** State and actions after one event. */
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
  /** Descriptions of where the actions or the final state differ from the expected ones. */
  readonly differences: readonly string[];
}
