/** Where a stream began: only servers of this pool and version may go on with it. */
export interface StreamOrigin {
  readonly pool: string;
  /** Version of the servers' software, an opaque word; empty when their entries name none. */
  readonly softwareVersion: string;
}

/**
 * Agreed origin of each route, by route name. A stream that begins elsewhere is recorded before its first event is
 * passed on, so a stream without a record began at the agreed origin of its route.
 */
export type AgreedOrigins = ReadonlyMap<string, StreamOrigin>;

/** A route whose streams may be resumed. */
export interface ResumableRoute {
  readonly name: string;
  readonly pools: readonly string[];
}
