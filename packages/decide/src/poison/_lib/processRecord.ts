import { LAST_ANSWERS_WINDOW_MS, LOSS_WINDOW_MS, MIN_SURVIVAL_MS } from '../constants.js';
import type {
  CrashedPrompt,
  LossKind,
  ProcessCrash,
  ProcessEnd,
  RunningAttempt,
  ServerProcess,
} from '../processTypes.js';

/** An attempt that lost its server. */
export interface Loss {
  readonly attempt: Attempt;
  readonly kind: LossKind;
  readonly atMs: number;
  /** Time within which an end of the process is attributed to this loss. */
  readonly windowMs: number;
  /** Whether the server has answered another attempt since. */
  readonly answeredSince: boolean;
}

interface Answer {
  readonly attempt: Attempt;
  readonly atMs: number;
}

/** An attempt that may have caused a crash. */
interface Suspect {
  readonly attempt: Attempt;
  readonly isDoubtful: boolean;
  /** Whether the request ended before the attempt. */
  readonly isAbandoned: boolean;
}

/** State of one tracked process. */
export interface ProcessRecord extends ServerProcess {
  /** Restarts that were detected before the list of servers showed them. */
  readonly unlistedStarts: number;
  readonly running: Set<Attempt>;
  losses: readonly Loss[];
  /** Latest answers, at most {@link MAX_LAST_ANSWERS}. */
  answers: readonly Answer[];
  end: ProcessEnd | 'refused' | undefined;
  crashedAtMs: number | undefined;
}

/** An attempt with the record of its process. */
export interface Attempt extends RunningAttempt {
  readonly record: ProcessRecord;
  /** Whether the server has begun to answer. */
  answering: boolean;
  /** Monotonic time of the first output; undefined before it. */
  outputAtMs: number | undefined;
}

export const createRecord = ({ serverId, startId, pool }: ServerProcess, unlistedStarts: number): ProcessRecord => ({
  serverId,
  startId,
  pool,
  unlistedStarts,
  running: new Set(),
  losses: [],
  answers: [],
  end: undefined,
  crashedAtMs: undefined,
});

/** Maximum number of answers that are kept for one process. */
export const MAX_LAST_ANSWERS = 32;

const listFingerprints = (attempts: readonly Attempt[]): readonly string[] => [
  ...new Set(attempts.flatMap(({ fingerprints }) => fingerprints)),
];

export const toSuspect = ({ attempt, kind, answeredSince }: Omit<Loss, 'atMs' | 'windowMs'>): Suspect => ({
  attempt,
  isDoubtful: attempt.answering || kind !== 'reset' || answeredSince,
  isAbandoned: kind === 'abandoned',
});

/** Prompts that may have caused the crash: the server did not survive their first output for long. */
const listPrompts = (attempts: readonly Attempt[], crashedAtMs: number): readonly CrashedPrompt[] =>
  attempts
    .filter(({ parts, outputAtMs = Infinity }) => parts.length > 0 && crashedAtMs - outputAtMs < MIN_SURVIVAL_MS)
    .flatMap(({ fingerprints, parts }) => fingerprints.map((fingerprint) => ({ fingerprint, parts })));

export const describeCrash = (
  { serverId, startId, pool, unlistedStarts, crashedAtMs = 0 }: ProcessRecord,
  suspects: readonly Suspect[],
  answered: readonly Attempt[] = [],
): ProcessCrash => {
  const listOf = (chosen: readonly Suspect[]): readonly string[] =>
    listFingerprints(chosen.map(({ attempt }) => attempt));
  const undoubted = new Set(listOf(suspects.filter(({ isDoubtful }) => !isDoubtful)));
  const unended = suspects.filter(({ isAbandoned }) => !isAbandoned).map(({ attempt }) => attempt);
  const prompts = listPrompts([...unended, ...answered], crashedAtMs);
  return {
    serverId,
    startId: unlistedStarts === 0 ? startId : `${startId}+${unlistedStarts}`,
    ...(pool === undefined ? {} : { pool }),
    atMs: crashedAtMs,
    fingerprints: listOf(suspects),
    doubtful: listOf(suspects).filter((fingerprint) => !undoubted.has(fingerprint)),
    answered: listFingerprints(answered),
    ...(prompts.length === 0 ? {} : { prompts }),
  };
};

export const listRecent = ({ losses }: ProcessRecord, nowMs: number): readonly Loss[] =>
  losses.filter(({ atMs, windowMs }) => nowMs - atMs < windowMs);

/** Latest answers of a process, or none when the last one is older than {@link LOSS_WINDOW_MS}. */
export const listLastAnswers = ({ answers }: ProcessRecord, nowMs: number): readonly Answer[] =>
  nowMs - (answers.at(-1)?.atMs ?? -Infinity) < LOSS_WINDOW_MS ? answers : [];

/** Ends a process. Its running, its lost and its last answered attempts are all part of the crash. */
export const endProcess = (ended: ProcessRecord, end: ProcessEnd | 'refused', nowMs: number): ProcessCrash => {
  const record = ended;
  const losses = listRecent(record, nowMs);
  const answers = listLastAnswers(record, nowMs);
  const lastHeardAtMs = losses.length === 0 ? answers.at(-1)?.atMs : undefined;
  record.end = end;
  record.crashedAtMs ??= Math.min(nowMs, lastHeardAtMs ?? nowMs, ...losses.map(({ atMs }) => atMs));
  record.losses = [];
  record.answers = [];
  const sinceMs = record.crashedAtMs - LAST_ANSWERS_WINDOW_MS;
  const answered = answers.filter(({ atMs }) => atMs >= sinceMs).map(({ attempt }) => attempt);
  // The running attempts of a server that refuses connections are about to lose their connections too.
  const kind: LossKind = end === 'refused' ? 'reset' : 'silent';
  const running = [...record.running].map((attempt) => toSuspect({ attempt, kind, answeredSince: false }));
  return describeCrash(record, [...losses.map(toSuspect), ...running], answered);
};
