/** Specifier that the module hooks resolve to the replaced module when a replacement imports it. */
export const ORIGINAL = 'mutation:original';

/** Exports of a replaced module: the original function. */
export interface OriginalModule<Value> {
  readonly default: Value;
}
