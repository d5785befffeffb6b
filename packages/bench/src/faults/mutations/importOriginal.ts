/** Specifier that the module hooks resolve to the module that is replaced. */
export const ORIGINAL = 'mutation:original';

/** A module whose function is replaced. */
export interface OriginalModule<Value> {
  readonly default: Value;
}
