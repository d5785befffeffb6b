/** One difference between two values; paths name list items by their `name` where they have one. */
export type Difference =
  | { readonly type: 'added'; readonly path: string; readonly after: unknown }
  | { readonly type: 'removed'; readonly path: string; readonly before: unknown }
  | { readonly type: 'changed'; readonly path: string; readonly before: unknown; readonly after: unknown }
  /** The named items that both lists contain are in another order. */
  | {
      readonly type: 'reordered';
      readonly path: string;
      readonly before: readonly string[];
      readonly after: readonly string[];
    };
