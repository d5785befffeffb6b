/** Exchange of service documents between entry hosts. */

/** Version of one document, without its content. */
export interface DocumentVersion {
  readonly service: string;
  readonly version: number;
  /** Hash of the accepted content. */
  readonly hash: string;
}
