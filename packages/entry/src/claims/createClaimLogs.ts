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
import withTimeout from './_lib/withTimeout.js';
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

/** State of a key in the logs. */
export type LogView =
  | { readonly type: 'free' }
  | { readonly type: 'record'; readonly record: ClaimRecord }
  | { readonly type: 'unavailable' };

/** Options of a read. */
export interface ReadOptions {
  /** Whether to read the current state of the store instead of the state in memory. */
  readonly refresh: boolean;
  readonly limitMs: number;
}

/** Access to the shard logs, through their owners or directly in the store. */
export interface ClaimLogs {
  /** Makes an operation durable through the shard owner, or from this host when the owner cannot be reached. */
  submit(op: ClaimOp, limitMs: number): Promise<ClaimOpResult>;
  /** Like `submit`, but always from this host. */
  submitHere(op: ClaimOp, limitMs: number): Promise<ClaimOpResult>;
  /** Makes an operation durable, without a time limit. */
  persist(op: ClaimOp): Promise<void>;
  /** Hands an operation over to another host, which keeps it until it is durable. Returns whether a host accepted it. */
  handOver(op: ClaimOp): Promise<boolean>;
  /** Reads a key from the shard owner; an unresponsive host is replaced by the next host in the ranking. */
  read(keyHash: string, options: ReadOptions & { readonly unresponsiveHostId?: string | undefined }): Promise<LogView>;
  /** Like `read`, but always from this host. */
  readHere(keyHash: string, options: ReadOptions): Promise<LogView>;
  close(): void;
}

/** Answer of the shard owner, or `unreachable` if the call to it failed. */
type OwnerResult = ClaimOpResult | { readonly type: 'unreachable'; readonly mayApply: boolean };

/** Number of hosts in the ranking that are asked before this host appends directly. */
const OWNER_CANDIDATES = 2;

/** Maximum wait for the shard owner before this host appends directly. */
const OWNER_LIMIT_MS = 400;
/** Time for a busy owner to reply after its own limit; if a busy owner counted as dead, many writers would conflict. */
const REPLY_MARGIN_MS = 600;
/** Time for the answer to a query to arrive; it is short because repeating the query here costs only a read. */
const QUERY_MARGIN_MS = 100;
/** Share of the remaining time given to the owner; the rest is for an append by this host and for the call itself. */
const OWNER_SHARE = 0.5;
/** Back-off for a host that did not answer, so that not every request waits for it. */
const OWNER_BACKOFF_MS = 1_000;

/** A refusal by a full shard proves nothing while an earlier call may still apply the operation. */
const discountFull = <Result extends OwnerResult | undefined>(result: Result, mayApply: boolean) =>
  result?.type === 'full' && mayApply ? { type: 'unavailable' as const, mayApply, busy: false, queueMs: 0 } : result;

class ShardClaimLogs implements ClaimLogs {
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
    // After the time limit the operation is not submitted here, because reading the log alone costs store calls.
    if (remote !== undefined && (remote.type !== 'unavailable' || this.remainingMs(endsAtMs) === 0)) {
      return remote;
    }
    const result = discountFull(await this.submitHere(op, this.remainingMs(endsAtMs)), remote?.mayApply === true);
    if (result.type !== 'unavailable') {
      return result;
    }
    return { type: 'unavailable', mayApply: result.mayApply || remote?.mayApply === true, busy: false, queueMs: 0 };
  }

  async submitHere(op: ClaimOp, limitMs: number): Promise<ClaimOpResult> {
    const log = this.getLog(op.keyHash);
    const submission = log.submit(op);
    const result = await withTimeout(this.options.clock, limitMs, submission.result);
    const queueMs = this.commits.delayMs();
    return result ?? { type: 'unavailable', mayApply: submission.abandon(), busy: !log.isFailing(), queueMs };
  }

  async persist(op: ClaimOp): Promise<void> {
    const remote = await this.waitForOwner(op, Infinity);
    if (remote === undefined || remote.type === 'unavailable') {
      await this.getLog(op.keyHash).submit(op).result;
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
    { unresponsiveHostId, ...options }: ReadOptions & { readonly unresponsiveHostId?: string | undefined },
  ): Promise<LogView> {
    const owner = this.findOwner(keyHash, new Set(unresponsiveHostId === undefined ? [] : [unresponsiveHostId]));
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
    const log = this.getLog(keyHash);
    if (options.refresh || !log.isLoaded()) {
      const fresh = log.refresh().then(() => true);
      if ((await withTimeout(this.options.clock, options.limitMs, fresh)) === undefined) {
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

  private getLog(keyHash: string): ShardLog {
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
   * Returns the host that commits for the shard, or undefined if that is this host. While the owner does not answer,
   * every host uses the next one in the ranking, so that all of them still write through a single host.
   */
  private findOwner(keyHash: string, unresponsive: ReadonlySet<string> = new Set()): EntryHostView | undefined {
    const nowMs = this.options.clock.monotonicMs();
    const candidates = this.rankHosts(keyHash).slice(0, OWNER_CANDIDATES);
    const owner = candidates.find(
      ({ hostId }) => !unresponsive.has(hostId) && (this.backoffUntilMs.get(hostId) ?? 0) <= nowMs,
    );
    return owner?.hostId === this.options.hostId ? undefined : owner;
  }

  /**
   * Waits for the owner as long as the owner and its store respond. A long queue at the owner is no reason to append
   * here: appends of many hosts to one log conflict, and each conflict costs further store calls.
   */
  private async waitForOwner(op: ClaimOp, endsAtMs: number): Promise<ClaimOpResult | undefined> {
    // Unresponsive hosts are excluded for the whole operation: a back-off can end while the next host is being asked.
    const unresponsive = new Set<string>();
    let mayApply = false;
    let limitMs = OWNER_LIMIT_MS;
    for (;;) {
      const waitMs = Math.min(limitMs, this.remainingMs(endsAtMs));
      // Attempts are sequential: each depends on the result of the one before.
      // eslint-disable-next-line no-await-in-loop
      const answer = await this.submitToOwner(op, unresponsive, { waitMs, remainingMs: this.remainingMs(endsAtMs) });
      const result: OwnerResult | undefined = discountFull(answer, mayApply);
      if (result !== undefined && result.type !== 'unavailable' && result.type !== 'unreachable') {
        return result;
      }
      mayApply = mayApply || result?.mayApply === true;
      const again = result?.type === 'unreachable' || (result?.type === 'unavailable' && result.busy);
      if (!again || this.remainingMs(endsAtMs) === 0) {
        const failed = { type: 'unavailable' as const, mayApply, busy: false, queueMs: 0 };
        return result === undefined && !mayApply ? undefined : failed;
      }
      limitMs = Math.max(OWNER_LIMIT_MS, result.type === 'unavailable' ? result.queueMs : 0);
    }
  }

  private remainingMs(endsAtMs: number): number {
    return Math.max(0, endsAtMs - this.options.clock.monotonicMs());
  }

  private async submitToOwner(
    op: ClaimOp,
    unresponsive: Set<string>,
    options: { readonly waitMs: number; readonly remainingMs: number },
  ): Promise<OwnerResult | undefined> {
    const owner = this.findOwner(op.keyHash, unresponsive);
    if (owner === undefined) {
      return undefined;
    }
    const limitMs = Math.min(options.waitMs + REPLY_MARGIN_MS, options.remainingMs * OWNER_SHARE);
    const waitMs = Math.min(options.waitMs, limitMs / 2);
    const result = await this.callAppend(owner, op, { waitMs, handOver: false, limitMs });
    if (result.type === 'unreachable') {
      unresponsive.add(owner.hostId);
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
      // A call that may have arrived can be appended again by this host: an operation takes effect only once.
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
  return new ShardClaimLogs(options);
}
