import type { Clock } from '@bergamotcove/clock';
import { shardOfKey, type ShardLimits } from '@bergamotcove/decide';
import type { StoreClient } from '@bergamotcove/backends';
import {
  CLAIMS_APPEND,
  CLAIMS_QUERY,
  claimOpResultSchema,
  claimsAnswerSchema,
  type ClaimOp,
  type ClaimOpResult,
  type ClaimRecord,
  type ClaimsAnswer,
} from '@bergamotcove/protocol';
import { TransportError, type PeerClient } from '@bergamotcove/transport';
import type { EntryHostView, PeerDirectory } from '../peers/types.js';
import withLimit from './_lib/withLimit.js';
import createCommitQueue, { type CommitQueue } from './createCommitQueue.js';
import createOwnerTable, { type OwnerTable } from './createOwnerTable.js';
import createShardLog, { type ShardLog } from './createShardLog.js';
import createShardStore from './createShardStore.js';

/** Options of {@link createClaimLogs}. */
export interface ClaimLogsOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly peers: PeerClient;
  readonly directory: PeerDirectory;
  readonly hostId: string;
  /** Unique per process. */
  readonly processId: string;
  readonly limits?: ShardLimits;
}

/** What the logs say about a key. */
export type LogView =
  | { readonly type: 'free' }
  | { readonly type: 'record'; readonly record: ClaimRecord }
  | { readonly type: 'unavailable' };

/** How a log is read. */
export interface ReadOptions {
  /** Whether what the store has now must be read. */
  readonly refresh: boolean;
  readonly limitMs: number;
}

/** The shard logs, reached through their owners or directly. */
export interface ClaimLogs {
  /** Makes an operation durable through the shard owner, or by itself when the owner cannot be reached. */
  submit(op: ClaimOp, limitMs: number): Promise<ClaimOpResult>;
  /** Like `submit`, on this host only. */
  submitHere(op: ClaimOp, limitMs: number): Promise<ClaimOpResult>;
  /** Makes an operation durable, however long it takes. */
  persist(op: ClaimOp): Promise<void>;
  /** Gives an operation to another host, which keeps it until it is durable. Returns whether a host accepted it. */
  handOver(op: ClaimOp): Promise<boolean>;
  /** What the shard owner knows of a key; the next host in the ranking is asked in place of one that is silent. */
  read(keyHash: string, options: ReadOptions & { readonly silentHostId?: string | undefined }): Promise<LogView>;
  readHere(keyHash: string, options: ReadOptions): Promise<LogView>;
  close(): void;
}

/** Answer of the owner, or none within the time limit. */
type OwnerResult = ClaimOpResult | { readonly type: 'unreachable'; readonly mayApply: boolean };

/** Hosts of the ranking that are asked before a host appends by itself. */
const OWNER_CANDIDATES = 2;

/** Longest wait for the shard owner before this host appends by itself. */
const OWNER_LIMIT_MS = 400;
/** Time for a busy owner to reply after its own limit; taking a busy owner for a dead one makes many writers conflict. */
const REPLY_MARGIN_MS = 600;
/** Time for the answer to a query to come back; a query that is repeated here only costs a read. */
const QUERY_MARGIN_MS = 100;
/** Share of the time left that the owner may take; the rest is for an append by this host and the call itself. */
const OWNER_SHARE = 0.5;
/** A host that did not answer is left out for this time, so that not every request waits for it. */
const OWNER_BACKOFF_MS = 1_000;

class Logs implements ClaimLogs {
  private readonly logs = new Map<number, ShardLog>();

  private readonly backoffUntilMs = new Map<string, number>();

  private readonly owners: OwnerTable;

  private readonly commits: CommitQueue;

  constructor(private readonly options: ClaimLogsOptions) {
    const { clock, store, directory, hostId } = options;
    this.owners = createOwnerTable(directory, hostId);
    this.commits = createCommitQueue({ clock, store, intervalMs: () => this.owners.commitIntervalMs() });
  }

  async submit(op: ClaimOp, limitMs: number): Promise<ClaimOpResult> {
    const endsAtMs = this.options.clock.monotonicMs() + limitMs;
    const remote = await this.waitForOwner(op, endsAtMs);
    // An operation whose time is over is not submitted here, because the read of the log alone costs store calls.
    if (remote !== undefined && (remote.type !== 'unavailable' || this.remaining(endsAtMs) === 0)) {
      return remote;
    }
    const result = await this.submitHere(op, this.remaining(endsAtMs));
    if (result.type !== 'unavailable') {
      return result;
    }
    return { type: 'unavailable', mayApply: result.mayApply || remote?.mayApply === true, busy: false, queueMs: 0 };
  }

  async submitHere(op: ClaimOp, limitMs: number): Promise<ClaimOpResult> {
    const log = this.logOf(op.keyHash);
    const submission = log.submit(op);
    const result = await withLimit(this.options.clock, limitMs, submission.result);
    const queueMs = this.commits.delayMs();
    return result ?? { type: 'unavailable', mayApply: submission.abandon(), busy: !log.isFailing(), queueMs };
  }

  async persist(op: ClaimOp): Promise<void> {
    const remote = await this.waitForOwner(op, Infinity);
    if (remote === undefined || remote.type === 'unavailable') {
      await this.logOf(op.keyHash).submit(op).result;
    }
  }

  async handOver(op: ClaimOp): Promise<boolean> {
    const ranked = this.rankHosts(op.keyHash).filter((host) => host.hostId !== this.options.hostId);
    return ranked.slice(0, 2).reduce<Promise<boolean>>(async (before, host) => {
      if (await before) {
        return true;
      }
      const result = await this.callAppend(host, op, { waitMs: 0, handOver: true, limitMs: REPLY_MARGIN_MS });
      return result?.type === 'done';
    }, Promise.resolve(false));
  }

  async read(
    keyHash: string,
    { silentHostId, ...options }: ReadOptions & { readonly silentHostId?: string | undefined },
  ): Promise<LogView> {
    const owner = this.findOwner(keyHash, new Set(silentHostId === undefined ? [] : [silentHostId]));
    if (owner !== undefined) {
      const limitMs = Math.min(options.limitMs, OWNER_LIMIT_MS);
      const about = { type: 'log', refresh: options.refresh };
      const answer = await this.callQuery(owner, { keyHash, about, waitMs: limitMs }, limitMs);
      if (answer?.type === 'free' || answer?.type === 'record') {
        return answer;
      }
    }
    return this.readHere(keyHash, options);
  }

  async readHere(keyHash: string, options: ReadOptions): Promise<LogView> {
    const log = this.logOf(keyHash);
    if (options.refresh || !log.isKnown()) {
      const fresh = log.refresh().then(() => true);
      if ((await withLimit(this.options.clock, options.limitMs, fresh)) === undefined) {
        return { type: 'unavailable' };
      }
    }
    const record = log.find(keyHash);
    return record === undefined ? { type: 'free' } : { type: 'record', record };
  }

  close(): void {
    this.logs.forEach((log) => log.close());
    this.commits.close();
  }

  private logOf(keyHash: string): ShardLog {
    const shard = shardOfKey(keyHash);
    const known = this.logs.get(shard);
    if (known !== undefined) {
      return known;
    }
    const { commits } = this;
    const { store } = this.options;
    const log = createShardLog({ ...this.options, commits, store: createShardStore(store, commits, shard) });
    this.logs.set(shard, log);
    return log;
  }

  private rankHosts(keyHash: string): readonly EntryHostView[] {
    return this.owners.rank(shardOfKey(keyHash));
  }

  /**
   * Host that commits for the shard when it is another host. While the owner does not answer, it is the next host in
   * the ranking for all hosts, so that they still write through one host.
   */
  private findOwner(keyHash: string, silent: ReadonlySet<string> = new Set()): EntryHostView | undefined {
    const nowMs = this.options.clock.monotonicMs();
    const candidates = this.rankHosts(keyHash).slice(0, OWNER_CANDIDATES);
    const owner = candidates.find(
      ({ hostId }) => !silent.has(hostId) && (this.backoffUntilMs.get(hostId) ?? 0) <= nowMs,
    );
    return owner?.hostId === this.options.hostId ? undefined : owner;
  }

  /**
   * Waits for the owner as long as it answers and its store does. An owner with a long queue is no reason to append
   * here: appends of many hosts to one log conflict, and each conflict costs further store calls.
   */
  private async waitForOwner(op: ClaimOp, endsAtMs: number): Promise<ClaimOpResult | undefined> {
    // A host that did not answer is not asked again for this operation: its backoff ends while the next one is asked.
    const silent = new Set<string>();
    let mayApply = false;
    let limitMs = OWNER_LIMIT_MS;
    for (;;) {
      const waitMs = Math.min(limitMs, this.remaining(endsAtMs));
      // Each wait follows the answer to the one before.
      // eslint-disable-next-line no-await-in-loop
      const result = await this.submitToOwner(op, silent, { waitMs, remainingMs: this.remaining(endsAtMs) });
      if (result !== undefined && result.type !== 'unavailable' && result.type !== 'unreachable') {
        return result;
      }
      mayApply = mayApply || result?.mayApply === true;
      const again = result?.type === 'unreachable' || (result?.type === 'unavailable' && result.busy);
      if (!again || this.remaining(endsAtMs) === 0) {
        const failed = { type: 'unavailable' as const, mayApply, busy: false, queueMs: 0 };
        return result === undefined && !mayApply ? undefined : failed;
      }
      limitMs = Math.max(OWNER_LIMIT_MS, result.type === 'unavailable' ? result.queueMs : 0);
    }
  }

  private remaining(endsAtMs: number): number {
    return Math.max(0, endsAtMs - this.options.clock.monotonicMs());
  }

  private async submitToOwner(
    op: ClaimOp,
    silent: Set<string>,
    options: { readonly waitMs: number; readonly remainingMs: number },
  ): Promise<OwnerResult | undefined> {
    const owner = this.findOwner(op.keyHash, silent);
    if (owner === undefined) {
      return undefined;
    }
    const limitMs = Math.min(options.waitMs + REPLY_MARGIN_MS, options.remainingMs * OWNER_SHARE);
    const waitMs = Math.min(options.waitMs, limitMs / 2);
    const result = await this.callAppend(owner, op, { waitMs, handOver: false, limitMs });
    if (result.type === 'unreachable') {
      silent.add(owner.hostId);
    }
    return result;
  }

  private async callAppend(
    host: EntryHostView,
    op: ClaimOp,
    options: { readonly waitMs: number; readonly handOver: boolean; readonly limitMs: number },
  ): Promise<OwnerResult> {
    const { limitMs, ...params } = options;
    try {
      return claimOpResultSchema.parse(await this.call(host, CLAIMS_APPEND, { op, ...params }, limitMs));
    } catch (cause) {
      this.backoffUntilMs.set(host.hostId, this.options.clock.monotonicMs() + OWNER_BACKOFF_MS);
      // A call that may have arrived can be appended a second time by this host; it takes effect only once.
      const arrived = !(cause instanceof TransportError) || cause.code !== 'not-connected';
      return { type: 'unreachable', mayApply: arrived };
    }
  }

  private async callQuery(host: EntryHostView, query: object, limitMs: number): Promise<ClaimsAnswer | undefined> {
    try {
      return claimsAnswerSchema.parse(await this.call(host, CLAIMS_QUERY, query, limitMs + QUERY_MARGIN_MS));
    } catch {
      return undefined;
    }
  }

  private call(host: EntryHostView, method: string, params: object, limitMs: number): Promise<unknown> {
    const target = { address: host.address, port: host.peersPort };
    return this.options.peers.call(target, method, params, { timeoutMs: Math.ceil(limitMs) });
  }
}

/**
 * Creates the access to the shard logs.
 *
 * @param options - store, peers and identity of this host
 * @returns the logs
 */
export default function createClaimLogs(options: ClaimLogsOptions): ClaimLogs {
  return new Logs(options);
}
