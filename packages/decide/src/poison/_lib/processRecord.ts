import { LAST_ANSWERS_MS, LOSS_WINDOW_MS } from '../constants.js';
import type { LossKind, ProcessCrash, ProcessEnd, RunningAttempt, ServerProcess } from '../createLossBook.js';

export interface Loss {
  readonly attempt: Attempt;
  readonly kind: LossKind;
  readonly atMs: number;
  /** Time for which an end of the process can be put down to it. */
  readonly windowMs: number;
  /** Whether the server has answered other attempts since. */
  readonly answeredSince: boolean;
}

interface Answer {
  readonly attempt: Attempt;
  readonly atMs: number;
}

/** An attempt that a crash is put down to. */
interface Suspect {
  readonly attempt: Attempt;
  readonly isDoubtful: boolean;
}

/** What is known of one process. */
export interface ProcessRecord extends ServerProcess {
  /** Starts that were noticed before the list of servers told them. */
  readonly unlistedStarts: number;
  readonly running: Set<Attempt>;
  losses: readonly Loss[];
  /** The last answers. */
  answers: readonly Answer[];
  end: ProcessEnd | 'refused' | undefined;
  crashedAtMs: number | undefined;
}

export interface Attempt extends RunningAttempt {
  readonly record: ProcessRecord;
  answering: boolean;
}

export const createRecord = ({ serverId, startId }: ServerProcess, unlistedStarts: number): ProcessRecord => ({
  serverId,
  startId,
  unlistedStarts,
  running: new Set(),
  losses: [],
  answers: [],
  end: undefined,
  crashedAtMs: undefined,
});

/** Answers of one process that are remembered. */
export const MAX_LAST_ANSWERS = 32;

const listFingerprints = (attempts: readonly Attempt[]): readonly string[] => [
  ...new Set(attempts.flatMap(({ fingerprints }) => fingerprints)),
];

export const toSuspect = ({ attempt, kind, answeredSince }: Omit<Loss, 'atMs' | 'windowMs'>): Suspect => ({
  attempt,
  isDoubtful: attempt.answering || kind !== 'reset' || answeredSince,
});

export const describeCrash = (
  { serverId, startId, unlistedStarts, crashedAtMs = 0 }: ProcessRecord,
  suspects: readonly Suspect[],
  answered: readonly Attempt[] = [],
): ProcessCrash => {
  const listOf = (chosen: readonly Suspect[]): readonly string[] =>
    listFingerprints(chosen.map(({ attempt }) => attempt));
  const sure = new Set(listOf(suspects.filter(({ isDoubtful }) => !isDoubtful)));
  return {
    serverId,
    startId: unlistedStarts === 0 ? startId : `${startId}+${unlistedStarts}`,
    atMs: crashedAtMs,
    fingerprints: listOf(suspects),
    doubtful: listOf(suspects).filter((fingerprint) => !sure.has(fingerprint)),
    answered: listFingerprints(answered),
  };
};

export const listRecent = ({ losses }: ProcessRecord, nowMs: number): readonly Loss[] =>
  losses.filter(({ atMs, windowMs }) => nowMs - atMs < windowMs);

/** The last answers of a process, if it was heard of lately. */
export const listLastAnswers = ({ answers }: ProcessRecord, nowMs: number): readonly Answer[] =>
  nowMs - (answers.at(-1)?.atMs ?? -Infinity) < LOSS_WINDOW_MS ? answers : [];

/** Ends a process; all attempts that run on it, have lost it or were answered last are part of the crash. */
export const endProcess = (ended: ProcessRecord, end: ProcessEnd | 'refused', nowMs: number): ProcessCrash => {
  const record = ended;
  const losses = listRecent(record, nowMs);
  const answers = listLastAnswers(record, nowMs);
  const lastHeardAtMs = losses.length === 0 ? answers.at(-1)?.atMs : undefined;
  record.end = end;
  record.crashedAtMs ??= Math.min(nowMs, lastHeardAtMs ?? nowMs, ...losses.map(({ atMs }) => atMs));
  record.losses = [];
  record.answers = [];
  const sinceMs = record.crashedAtMs - LAST_ANSWERS_MS;
  const answered = answers.filter(({ atMs }) => atMs >= sinceMs).map(({ attempt }) => attempt);
  // Those that run on a server which refuses connections lose theirs next.
  const kind: LossKind = end === 'refused' ? 'reset' : 'silent';
  const running = [...record.running].map((attempt) => toSuspect({ attempt, kind, answeredSince: false }));
  return describeCrash(record, [...losses.map(toSuspect), ...running], answered);
};
