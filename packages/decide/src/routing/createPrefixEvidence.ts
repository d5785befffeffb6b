import median from './_lib/median.js';

/** Place of the first token of an attempt: on a home server of its prefix, or on a server not expected to hold it. */
export type PrefixPlace = 'home' | 'other';

/** Owner of what this host has seen of the use of prefix affinity. */
export interface PrefixEvidence {
  /** Notes the time from sending to the first token. */
  note(key: string, place: PrefixPlace, firstTokenMs: number, nowMs: number): void;
  /** Whether home servers are faster at the first token; true while that is not known. */
  isUseful(key: string, nowMs: number): boolean;
}

interface Trial {
  readonly samples: Readonly<Record<PrefixPlace, readonly number[]>>;
  /** Undefined while the trial runs. */
  readonly useful?: boolean;
  readonly endedAtMs?: number;
}

/** The first requests at a home server find a cold cache, so the trial is long enough to outweigh them. */
const MIN_SAMPLES: Readonly<Record<PrefixPlace, number>> = { home: 60, other: 20 };
/** A smaller difference of the first token is variation of the load. */
const MIN_RATIO = 1.25;
/** A trial is repeated after this time, because operations get and lose shared prefixes. */
const VERDICT_LIFETIME_MS = 60_000;

const NEW_TRIAL: Trial = { samples: { home: [], other: [] } };

const closeTrial = (samples: Trial['samples'], nowMs: number): Trial => {
  if (samples.home.length < MIN_SAMPLES.home || samples.other.length < MIN_SAMPLES.other) {
    return { samples };
  }
  const useful = (median(samples.other) ?? 0) >= (median(samples.home) ?? 0) * MIN_RATIO;
  return { samples: NEW_TRIAL.samples, useful, endedAtMs: nowMs };
};

const isOver = (trial: Trial, nowMs: number): boolean =>
  trial.endedAtMs !== undefined && nowMs - trial.endedAtMs >= VERDICT_LIFETIME_MS;

/**
 * Creates the owner of the evidence for prefix affinity. Affinity is on until a trial shows that first tokens are not
 * faster on home servers; an operation without a shared prefix then spreads evenly.
 *
 * @returns the evidence
 * @example
 * const evidence = createPrefixEvidence();
 * evidence.note('explain', 'home', 210, nowMs);
 */
export default function createPrefixEvidence(): PrefixEvidence {
  const trials = new Map<string, Trial>();
  const find = (key: string, nowMs: number): Trial => {
    const trial = trials.get(key) ?? NEW_TRIAL;
    return isOver(trial, nowMs) ? NEW_TRIAL : trial;
  };
  return {
    note: (key, place, firstTokenMs, nowMs) => {
      const trial = find(key, nowMs);
      if (trial.useful === undefined) {
        const samples = { ...trial.samples, [place]: [...trial.samples[place], firstTokenMs] };
        trials.set(key, closeTrial(samples, nowMs));
      }
    },
    isUseful: (key, nowMs) => find(key, nowMs).useful !== false,
  };
}
