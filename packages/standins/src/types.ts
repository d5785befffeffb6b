/** A running stand-in. */
export interface Standin {
  readonly port: number;
  close(): Promise<void>;
}

/** Where a stand-in listens. */
export interface ListenOptions {
  readonly address: string;
  readonly port: number;
}
