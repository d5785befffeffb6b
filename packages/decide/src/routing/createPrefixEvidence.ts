import median from './_lib/median.js';

/** Server of an attempt: a home server of its prefix, or one that is not expected to have the prefix cached. */
export type PrefixPlace = 'home' | 'other';

/** Measures on this host whether prefix affinity makes the first token faster. */
export interface PrefixEvidence {
  /** Records the time from sending an attempt to its first token. */
  note(key: string, place: PrefixPlace, firstTokenMs: number, nowMs: number): void;
  /** Whether first tokens are faster on home servers; true until a trial has ended. */
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
/** Ratio of the median times to the first token from which affinity is useful; smaller ones are load variation. */
const MIN_RATIO = 1.25;
/** Time after which a trial is repeated, because operations gain and lose shared prefixes. */
const TRIAL_RESULT_LIFETIME_MS = 60_000;

const NEW_TRIAL: Trial = { samples: { home: [], other: [] } };

const evaluateTrial = (samples: Trial['samples'], nowMs: number): Trial => {
  if (samples.home.length < MIN_SAMPLES.home || samples.other.length < MIN_SAMPLES.other) {
    return { samples };
  }
  const useful = (median(samples.other) ?? 0) >= (median(samples.home) ?? 0) * MIN_RATIO;
  return { samples: NEW_TRIAL.samples, useful, endedAtMs: nowMs };
};

const isExpired = (trial: Trial, nowMs: number): boolean =>
  trial.endedAtMs !== undefined && nowMs - trial.endedAtMs >= TRIAL_RESULT_LIFETIME_MS;

/**
 * Creates the measurement of prefix affinity, with one trial for each key (operation). Affinity stays on until a trial
 * shows that first tokens are not faster on home servers; an operation without a shared prefix then spreads evenly.
 *
 * @returns the measurement, without samples
 * @example
 * const evidence = createPrefixEvidence();
 * evidence.note('explain', 'home', 210, nowMs);
 */
export default function createPrefixEvidence(): PrefixEvidence {
  const trials = new Map<string, Trial>();
  const find = (key: string, nowMs: number): Trial => {
    const trial = trials.get(key) ?? NEW_TRIAL;
    return isExpired(trial, nowMs) ? NEW_TRIAL : trial;
  };
  return {
    note: (key, place, firstTokenMs, nowMs) => {
      const trial = find(key, nowMs);
      if (trial.useful === undefined) {
        const samples = { ...trial.samples, [place]: [...trial.samples[place], firstTokenMs] };
        trials.set(key, evaluateTrial(samples, nowMs));
      }
    },
    isUseful: (key, nowMs) => find(key, nowMs).useful !== false,
  };
}
