import ProcessTable from './_lib/ProcessTable.js';
import {
  describeCrash,
  endProcess,
  listLastAnswers,
  listRecent,
  MAX_LAST_ANSWERS,
  toSuspect,
  type Attempt,
} from './_lib/processRecord.js';
import { STALE_LIST_LOSS_WINDOW_MS, LAST_ANSWERS_WINDOW_MS, LOSS_WINDOW_MS } from './constants.js';
import type { LossKind, ProcessCrash, ProcessEnd, RunningAttempt, ServerProcess } from './processTypes.js';

/**
 * Detects crashes of server processes. It tracks the attempts on backend servers, and keeps an attempt that lost its
 * server until it is known whether the server ended.
 */
export interface CrashDetector {
  /** Starts to track an attempt that is sent to a process. */
  begin(process: ServerProcess, fingerprints: readonly string[], parts?: readonly string[]): RunningAttempt;
  /** Records that the server has begun to answer an attempt. */
  noteAnswering(attempt: RunningAttempt): void;
  /**
   * Records output of a server for an attempt; true for the first one. A server that survives it was not crashed by the
   * prompt.
   */
  noteOutput(attempt: RunningAttempt, nowMs: number): boolean;
  /**
   * Records the complete answer of an attempt. Another process may have taken the server's id by then, so that an
   * answer does not disprove an earlier loss.
   */
  noteAnswered(attempt: RunningAttempt, nowMs: number): void;
  /** Stops tracking an attempt whose end says nothing about the process. */
  drop(attempt: RunningAttempt): void;
  /** Records that an attempt lost its server. Returns the crash if the process is known to have ended. */
  noteLost(attempt: RunningAttempt, kind: LossKind, nowMs: number): ProcessCrash | undefined;
  /** Records that the server of a lost attempt refuses connections, which means that its process has ended. */
  noteRefused(attempt: RunningAttempt, nowMs: number): ProcessCrash;
  /** Records that the server refused the connection of an attempt. Returns the crash if its process ran requests. */
  noteUnreachable(attempt: RunningAttempt, nowMs: number): ProcessCrash | undefined;
  /** Records the end of a process that the list of servers reports. Returns the crash if the process ran requests. */
  noteEnded(process: ServerProcess, end: ProcessEnd, nowMs: number): ProcessCrash | undefined;
}

/** Options of {@link createCrashDetector}. */
export interface CrashDetectorOptions {
  /** Whether the list of servers is not being updated, so that it does not report the end of processes. */
  readonly isListStale: () => boolean;
}

const markAnswering = (running: RunningAttempt): void => {
  const attempt = running as Attempt;
  attempt.answering = true;
};

const markOutput = (running: RunningAttempt, nowMs: number): boolean => {
  const attempt = running as Attempt;
  const isFirst = attempt.outputAtMs === undefined;
  attempt.outputAtMs ??= nowMs;
  return isFirst;
};

class AttemptTracker implements CrashDetector {
  private readonly processes = new ProcessTable();

  constructor(private readonly options: CrashDetectorOptions) {}

  begin(process: ServerProcess, fingerprints: readonly string[], parts: readonly string[] = []): RunningAttempt {
    const record = this.processes.getOrCreate(process);
    const attempt: Attempt = { record, fingerprints, parts, answering: false, outputAtMs: undefined };
    record.running.add(attempt);
    return attempt;
  }

  readonly noteAnswering = markAnswering;

  readonly noteOutput = markOutput;

  noteAnswered(running: RunningAttempt, nowMs: number): void {
    const attempt = running as Attempt;
    const { record } = attempt;
    record.losses = record.losses.map((loss) => ({ ...loss, answeredSince: true, windowMs: LOSS_WINDOW_MS }));
    record.answers = [
      ...record.answers.filter(({ atMs }) => nowMs - atMs <= LAST_ANSWERS_WINDOW_MS).slice(1 - MAX_LAST_ANSWERS),
      { attempt, atMs: nowMs },
    ];
    this.processes.removeAttempt(attempt);
  }

  drop(running: RunningAttempt): void {
    this.processes.removeAttempt(running as Attempt);
  }

  noteLost(running: RunningAttempt, kind: LossKind, nowMs: number): ProcessCrash | undefined {
    const attempt = running as Attempt;
    const crash = this.applyLoss(attempt, kind, nowMs);
    this.processes.removeAttempt(attempt);
    return crash;
  }

  noteRefused(running: RunningAttempt, nowMs: number): ProcessCrash {
    const attempt = running as Attempt;
    this.addLoss(attempt, 'reset', nowMs);
    return endProcess(attempt.record, 'refused', nowMs);
  }

  noteUnreachable(running: RunningAttempt, nowMs: number): ProcessCrash | undefined {
    const attempt = running as Attempt;
    const { record } = attempt;
    this.processes.removeAttempt(attempt);
    const isCrash =
      record.end === undefined && (listRecent(record, nowMs).length > 0 || listLastAnswers(record, nowMs).length > 0);
    return isCrash ? endProcess(record, 'refused', nowMs) : undefined;
  }

  noteEnded(process: ServerProcess, end: ProcessEnd, nowMs: number): ProcessCrash | undefined {
    const record = this.processes.find(process);
    if (record === undefined || record.end !== undefined) {
      return undefined;
    }
    const hasLosses = listRecent(record, nowMs).length > 0;
    // A server that leaves unannounced is removed from the list as well, and has answered requests until then.
    const hasAnswered = end === 'replaced' && listLastAnswers(record, nowMs).length > 0;
    const crash = endProcess(record, end, nowMs);
    return end !== 'left' && (hasLosses || hasAnswered) ? crash : undefined;
  }

  /** Applies the loss of an attempt; returns the crash if its process is known to have ended. */
  private applyLoss(attempt: Attempt, kind: LossKind, nowMs: number): ProcessCrash | undefined {
    const { record, answering } = attempt;
    if (record.end === undefined) {
      // A caller that disconnects in the middle of an answer says nothing about the server.
      if (kind !== 'abandoned' || !answering) {
        this.addLoss(attempt, kind, nowMs);
      }
      return undefined;
    }
    // A server that leaves unannounced is removed from the list before it closes its last connections.
    const hasLeft = record.end === 'left' || (record.end === 'removed' && kind === 'reset');
    const suspect = toSuspect({ attempt, kind, answeredSince: false });
    return hasLeft ? undefined : describeCrash(record, [suspect]);
  }

  private addLoss(attempt: Attempt, kind: LossKind, nowMs: number): void {
    const { record } = attempt;
    const windowMs = this.options.isListStale() ? STALE_LIST_LOSS_WINDOW_MS : LOSS_WINDOW_MS;
    record.losses = [...listRecent(record, nowMs), { attempt, kind, atMs: nowMs, windowMs, answeredSince: false }];
  }
}

/**
 * Creates a crash detector that tracks no attempts yet.
 *
 * @param options - state of the list of servers
 * @returns the detector
 */
export default function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
  return new AttemptTracker(options);
}
