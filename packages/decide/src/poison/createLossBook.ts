import Processes from './_lib/Processes.js';
import {
  describeCrash,
  endProcess,
  listLastAnswers,
  listRecent,
  MAX_LAST_ANSWERS,
  toSuspect,
  type Attempt,
} from './_lib/processRecord.js';
import { HELD_LOSS_WINDOW_MS, LAST_ANSWERS_MS, LOSS_WINDOW_MS } from './constants.js';

/** One process of a backend server. */
export interface ServerProcess {
  readonly serverId: string;
  /** Distinguishes the starts of a server that keeps its id. */
  readonly startId: string;
}

/** How an attempt lost its server. */
export type LossKind =
  /** The connection broke. */
  | 'reset'
  /** Nothing came, or nothing that can be read, until this host gave the attempt up. */
  | 'silent'
  /** The request ended first, while the server may have been at work. */
  | 'abandoned';

/** What became of a process by the list of servers. */
export type ProcessEnd =
  /** Its entry is gone. */
  | 'removed'
  /** Another process has its id or address. */
  | 'replaced'
  /** It had said that it leaves. */
  | 'left';

/** An attempt that runs on a process. */
export interface RunningAttempt {
  /** Requests that it is for; a call to a stage server has pieces of several. */
  readonly fingerprints: readonly string[];
}

/** A process that ended under requests. */
export interface ProcessCrash extends ServerProcess {
  readonly atMs: number;
  readonly fingerprints: readonly string[];
  /** Those whose end may have another cause: the server had begun to answer them, or was silent. */
  readonly doubtful: readonly string[];
  /** Requests that it answered last; it may have ended under one of them all the same. */
  readonly answered: readonly string[];
}

/** Attempts on backend servers, and those that lost their server, until it is known whether the server ended. */
export interface LossBook {
  /** An attempt is sent to a process. */
  begin(process: ServerProcess, fingerprints: readonly string[]): RunningAttempt;
  /** The server has begun to answer it. */
  noteAnswering(attempt: RunningAttempt): void;
  /** It was answered whole. Another process may have the server's id by then, so that an answer proves no loss wrong. */
  noteAnswered(attempt: RunningAttempt, nowMs: number): void;
  /** It ended and tells nothing of the process. */
  drop(attempt: RunningAttempt): void;
  /** It lost the server. Returns the crash when the process is known to have ended. */
  noteLost(attempt: RunningAttempt, kind: LossKind, nowMs: number): ProcessCrash | undefined;
  /** The server refuses connections: the process of a lost attempt has ended. */
  noteRefused(attempt: RunningAttempt, nowMs: number): ProcessCrash;
  /** The server refused the connection of an attempt. Returns the crash when its process ended under requests. */
  noteUnreachable(attempt: RunningAttempt, nowMs: number): ProcessCrash | undefined;
  /** The list of servers tells that a process has ended. Returns the crash when it ended under requests. */
  noteEnded(process: ServerProcess, end: ProcessEnd, nowMs: number): ProcessCrash | undefined;
}

/** Options of {@link createLossBook}. */
export interface LossBookOptions {
  /** Whether the list of servers stands still, so that it does not tell which processes end. */
  readonly isListStale: () => boolean;
}

const markAnswering = (running: RunningAttempt): void => {
  const attempt = running as Attempt;
  attempt.answering = true;
};

class Book implements LossBook {
  private readonly processes = new Processes();

  constructor(private readonly options: LossBookOptions) {}

  begin(process: ServerProcess, fingerprints: readonly string[]): RunningAttempt {
    const record = this.processes.open(process);
    const attempt: Attempt = { record, fingerprints, answering: false };
    record.running.add(attempt);
    return attempt;
  }

  readonly noteAnswering = markAnswering;

  noteAnswered(running: RunningAttempt, nowMs: number): void {
    const attempt = running as Attempt;
    const { record } = attempt;
    record.losses = record.losses.map((loss) => ({ ...loss, answeredSince: true, windowMs: LOSS_WINDOW_MS }));
    record.answers = [
      ...record.answers.filter(({ atMs }) => nowMs - atMs <= LAST_ANSWERS_MS).slice(1 - MAX_LAST_ANSWERS),
      { attempt, atMs: nowMs },
    ];
    this.processes.leave(attempt);
  }

  drop(running: RunningAttempt): void {
    this.processes.leave(running as Attempt);
  }

  noteLost(running: RunningAttempt, kind: LossKind, nowMs: number): ProcessCrash | undefined {
    const attempt = running as Attempt;
    const crash = this.lose(attempt, kind, nowMs);
    this.processes.leave(attempt);
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
    this.processes.leave(attempt);
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
    // A server that leaves without a word is listed no more as well, and has answered until then.
    const hasAnswered = end === 'replaced' && listLastAnswers(record, nowMs).length > 0;
    const crash = endProcess(record, end, nowMs);
    return end !== 'left' && (hasLosses || hasAnswered) ? crash : undefined;
  }

  /** Applies the loss of an attempt; returns the crash when its process is known to have ended. */
  private lose(attempt: Attempt, kind: LossKind, nowMs: number): ProcessCrash | undefined {
    const { record, answering } = attempt;
    if (record.end === undefined) {
      // A caller that leaves an answer early says nothing of the server.
      if (kind !== 'abandoned' || !answering) {
        this.addLoss(attempt, kind, nowMs);
      }
      return undefined;
    }
    // A server that leaves without a word is listed no more before it breaks its last connections.
    const hasLeft = record.end === 'left' || (record.end === 'removed' && kind === 'reset');
    const suspect = toSuspect({ attempt, kind, answeredSince: false });
    return hasLeft ? undefined : describeCrash(record, [suspect]);
  }

  private addLoss(attempt: Attempt, kind: LossKind, nowMs: number): void {
    const { record } = attempt;
    const windowMs = this.options.isListStale() ? HELD_LOSS_WINDOW_MS : LOSS_WINDOW_MS;
    record.losses = [...listRecent(record, nowMs), { attempt, kind, atMs: nowMs, windowMs, answeredSince: false }];
  }
}

/**
 * Creates an empty book.
 *
 * @param options - state of the list of servers
 * @returns the book
 */
export default function createLossBook(options: LossBookOptions): LossBook {
  return new Book(options);
}
