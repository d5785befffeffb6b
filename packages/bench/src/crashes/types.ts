/** Servers that end at given times in a modelled outage. */
export interface ModelOutage {
  readonly atMs: number;
  /** Share of the servers that end. */
  readonly share: number;
  /** Time over which they end one after the other; 0 for one moment. */
  readonly spreadMs: number;
}

/** A part of prompts that crashes servers in the model. */
export interface ModelCrashingPart {
  readonly fromMs: number;
  /** Whether it stands in place of the first part of a prompt, or as an additional one after the shared parts. */
  readonly place: 'first' | 'additional';
  /** Share of the prompts that have it. */
  readonly share: number;
}

/** A pool of model servers, its traffic and its faults. */
export interface PartModel {
  readonly seed: number;
  readonly servers: number;
  /** Prompts per second for each server. */
  readonly promptsPerSecond: number;
  readonly lengthMs: number;
  readonly outages: readonly ModelOutage[];
  readonly crashingParts: readonly ModelCrashingPart[];
}

/** What happened in a run of the model. */
export interface PartModelResult {
  /** Prompts of callers, without repeats. */
  readonly prompts: number;
  /** Crashes caused by each crashing part before it was blocked; all of them when it never was. */
  readonly crashesUntilFound: readonly number[];
  /** Time from the first crash of each crashing part until it was blocked; undefined when it never was. */
  readonly foundAfterMs: readonly (number | undefined)[];
  /** Blocked parts that crash no servers. */
  readonly falselyBlocked: readonly string[];
  /** Share of the sound prompts that were refused because of a block. */
  readonly refusedShare: number;
}
