import {
  CLAIMS_APPEND,
  CLAIMS_QUERY,
  claimsAppendSchema,
  claimsQuerySchema,
  type ClaimOpResult,
  type ClaimRecord,
  type ClaimsAnswer,
} from '@bergamotcove/protocol';
import type { PeerServer } from '@bergamotcove/transport';
import type { ClaimLogs } from './createClaimLogs.js';
import type { OpenClaims } from './createOpenClaims.js';

/** Completes an open record with an outcome that this host accepted (for example by hand-over) but that is not durable. */
const withUnsettled = (record: ClaimRecord, openClaims: OpenClaims, keyHash: string): ClaimRecord => {
  const op = openClaims.findUnsettled(keyHash);
  return op === undefined || op.claimId !== record.claimId || record.status.type !== 'open'
    ? record
    : { ...record, status: { type: 'finished', outcome: op.outcome, wallMs: op.wallMs } };
};

/**
 * Registers the RPC methods through which other entry hosts use the shard logs and the claims of this host.
 *
 * @param server - RPC server of this host
 * @param logs - shard logs
 * @param openClaims - claims of this process
 */
export default function registerClaimMethods(server: PeerServer, logs: ClaimLogs, openClaims: OpenClaims): void {
  server.register(CLAIMS_APPEND, async (params): Promise<ClaimOpResult> => {
    const { op, waitMs, handOver } = claimsAppendSchema.parse(params);
    if (handOver) {
      openClaims.persistInBackground(op);
      return { type: 'done' };
    }
    return logs.submitHere(op, waitMs);
  });
  server.register(CLAIMS_QUERY, async (params): Promise<ClaimsAnswer> => {
    const { keyHash, about, waitMs } = claimsQuerySchema.parse(params);
    if (about.type === 'claimant') {
      return openClaims.awaitAnswer(about.claimId, waitMs);
    }
    const view = await logs.readHere(keyHash, { refresh: about.refresh, limitMs: waitMs });
    return view.type === 'record' ? { type: 'record', record: withUnsettled(view.record, openClaims, keyHash) } : view;
  });
}
