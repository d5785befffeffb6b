/** Command line after parsing. */
export interface Invocation {
  readonly command: string;
  readonly positionals: readonly string[];
  readonly storeUrls: readonly string[];
  readonly hostUrl?: string;
  /** Settings file whose peer keys sign operator calls. */
  readonly settingsFile?: string;
  readonly json: boolean;
  readonly expectedVersion?: number;
}

/** What a command prints and how it ends. */
export interface CommandResult {
  readonly exitCode: number;
  /** Printed with `--json`. */
  readonly value: unknown;
  /** Printed otherwise. */
  readonly text: string;
}
