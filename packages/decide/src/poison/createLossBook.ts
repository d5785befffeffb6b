import { LOSS_WINDOW_MS, MAX_ENDED_PROCESSES } from './constants.js';

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
}

/** Attempts on backend servers, and those that lost their server, until it is known whether the server ended. */
export interface LossBook {
  /** An attempt is sent to a process. */
  begin(process: ServerProcess, fingerprints: readonly string[]): RunningAttempt;
  /** The server has begun to answer it. */
  noteAnswering(attempt: RunningAttempt): void;
  /** It was answered whole, so that the process lives. */
  noteAnswered(attempt: RunningAttempt): void;
  /** It ended and tells nothing of the process. */
  drop(attempt: RunningAttempt): void;
  /** It lost the server. Returns the crash when the process is known to have ended. */
  noteLost(attempt: RunningAttempt, kind: LossKind, nowMs: number): ProcessCrash | undefined;
  /** The server refuses connections: the process of a lost attempt has ended. */
  noteRefused(attempt: RunningAttempt, nowMs: number): ProcessCrash;
  /** The list of servers tells that a process has ended. Returns the crash when it ended under requests. */
  noteEnded(process: ServerProcess, end: ProcessEnd, nowMs: number): ProcessCrash | undefined;
}

interface Loss {
  readonly attempt: Attempt;
  readonly kind: LossKind;
  readonly atMs: number;
}

/** What is known of one process. */
interface ProcessRecord extends ServerProcess {
  /** Starts that were noticed before the list of servers told them. */
  readonly unlistedStarts: number;
  readonly running: Set<Attempt>;
  losses: readonly Loss[];
  end: ProcessEnd | 'refused' | undefined;
  crashedAtMs: number | undefined;
}

interface Attempt extends RunningAttempt {
  readonly record: ProcessRecord;
  answering: boolean;
}

const formatKey = ({ serverId, startId }: ServerProcess): string => `${serverId} ${startId}`;

const createRecord = ({ serverId, startId }: ServerProcess, unlistedStarts: number): ProcessRecord => ({
  serverId,
  startId,
  unlistedStarts,
  running: new Set(),
  losses: [],
  end: undefined,
  crashedAtMs: undefined,
});

const listFingerprints = (attempts: readonly Attempt[]): readonly string[] => [
  ...new Set(attempts.flatMap(({ fingerprints }) => fingerprints)),
];

const isDoubtful = ({ attempt, kind }: Pick<Loss, 'attempt' | 'kind'>): boolean =>
  attempt.answering || kind !== 'reset';

const describeCrash = (
  record: ProcessRecord,
  losses: readonly Pick<Loss, 'attempt' | 'kind'>[],
  atMs: number,
): ProcessCrash => {
  const { serverId, startId, unlistedStarts } = record;
  return {
    serverId,
    startId: unlistedStarts === 0 ? startId : `${startId}+${unlistedStarts}`,
    atMs,
    fingerprints: listFingerprints(losses.map(({ attempt }) => attempt)),
    doubtful: listFingerprints(losses.filter(isDoubtful).map(({ attempt }) => attempt)),
  };
};

const listRecent = ({ losses }: ProcessRecord, nowMs: number): readonly Loss[] =>
  losses.filter(({ atMs }) => nowMs - atMs < LOSS_WINDOW_MS);

const addLoss = ({ record, ...loss }: Omit<Loss, 'atMs'> & { readonly record: ProcessRecord }, nowMs: number): void => {
  const losing = record;
  losing.losses = [...listRecent(losing, nowMs), { ...loss, atMs: nowMs }];
};

/** Ends a process; all attempts that run on it or have lost it are part of the crash. */
const endProcess = (ended: ProcessRecord, end: ProcessEnd | 'refused', nowMs: number): ProcessCrash => {
  const record = ended;
  const recent = listRecent(record, nowMs);
  record.end = end;
  record.crashedAtMs ??= Math.min(nowMs, ...recent.map(({ atMs }) => atMs));
  record.losses = [];
  // Those that run on a server which refuses connections lose theirs next.
  const kind: LossKind = end === 'refused' ? 'reset' : 'silent';
  const running = [...record.running].map((attempt) => ({ attempt, kind }));
  return describeCrash(record, [...recent, ...running], record.crashedAtMs);
};

/** Applies the loss of an attempt; returns the crash when its process is known to have ended. */
const loseAttempt = (attempt: Attempt, kind: LossKind, nowMs: number): ProcessCrash | undefined => {
  const { record, answering } = attempt;
  if (record.end === undefined) {
    // A caller that leaves an answer early says nothing of the server.
    if (kind !== 'abandoned' || !answering) {
      addLoss({ record, attempt, kind }, nowMs);
    }
    return undefined;
  }
  // A server that leaves without a word is listed no more before it breaks its last connections.
  const hasLeft = record.end === 'left' || (record.end === 'removed' && kind === 'reset');
  return hasLeft ? undefined : describeCrash(record, [{ attempt, kind }], record.crashedAtMs ?? nowMs);
};

/** The processes that have attempts, and those that have ended. */
class Processes {
  private readonly records = new Map<string, ProcessRecord>();

  find(process: ServerProcess): ProcessRecord | undefined {
    return this.records.get(formatKey(process));
  }

  /** Attempts on a process that refused connections run on the next one, if they run. */
  open(process: ServerProcess): ProcessRecord {
    const known = this.find(process);
    if (known !== undefined && known.end === undefined) {
      return known;
    }
    const record = createRecord(process, (known?.unlistedStarts ?? 0) + (known?.end === 'refused' ? 1 : 0));
    const key = formatKey(process);
    this.records.delete(key);
    this.records.set(key, record);
    if (this.records.size > MAX_ENDED_PROCESSES) {
      this.forgetOldest();
    }
    return record;
  }

  /** Ends an attempt; a process of which nothing else is known is forgotten. */
  leave(attempt: Attempt): void {
    const { record } = attempt;
    record.running.delete(attempt);
    const isIdle = record.running.size === 0 && record.losses.length === 0 && record.end === undefined;
    if (isIdle && record.unlistedStarts === 0 && this.find(record) === record) {
      this.records.delete(formatKey(record));
    }
  }

  private forgetOldest(): void {
    const oldest = [...this.records].find(([, { running }]) => running.size === 0);
    if (oldest !== undefined) {
      this.records.delete(oldest[0]);
    }
  }
}

/**
 * Creates an empty book.
 *
 * @returns the book
 */
export default function createLossBook(): LossBook {
  const processes = new Processes();
  return {
    begin: (process, fingerprints) => {
      const record = processes.open(process);
      const attempt: Attempt = { record, fingerprints, answering: false };
      record.running.add(attempt);
      return attempt;
    },
    noteAnswering: (running) => {
      const attempt = running as Attempt;
      attempt.answering = true;
    },
    noteAnswered: (running) => {
      const attempt = running as Attempt;
      attempt.record.losses = [];
      processes.leave(attempt);
    },
    drop: (running) => processes.leave(running as Attempt),
    noteLost: (running, kind, nowMs) => {
      const attempt = running as Attempt;
      const crash = loseAttempt(attempt, kind, nowMs);
      processes.leave(attempt);
      return crash;
    },
    noteRefused: (running, nowMs) => {
      const attempt = running as Attempt;
      addLoss({ record: attempt.record, attempt, kind: 'reset' }, nowMs);
      return endProcess(attempt.record, 'refused', nowMs);
    },
    noteEnded: (process, end, nowMs) => {
      const record = processes.find(process);
      if (record === undefined || record.end !== undefined) {
        return undefined;
      }
      const isCrash = end !== 'left' && listRecent(record, nowMs).length > 0;
      const crash = endProcess(record, end, nowMs);
      return isCrash ? crash : undefined;
    },
  };
}
