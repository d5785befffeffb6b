import type { Clock } from '@bergamotcove/clock';
import {
  createLedger,
  startEngine,
  startStageServer,
  type FaultyServer,
  type Ledger,
  type Observer,
  type ServerPoint,
  type StageKind,
} from '@bergamotcove/standins';
import { ADDRESS, TOKENS_PER_ANSWER } from '../constants.js';
import type { Variant } from '../types.js';

/** One backend server of a world. */
export interface WorldServer {
  readonly serverId: string;
  readonly pool: string;
  readonly kind: StageKind | 'generate';
  readonly failureDomain: string;
  readonly server: FaultyServer;
}

/** Options of {@link startServers}; `observe` is called at each point of a request on a server. */
export interface ServersOptions {
  readonly clock: Clock;
  readonly variant: Variant;
  /** Failure domains that get one server of each pool. */
  readonly failureDomains: readonly string[];
  readonly observe: Observer<ServerPoint>;
}

const POOLS: readonly { readonly pool: string; readonly kind: WorldServer['kind'] }[] = [
  { pool: 'encoders', kind: 'encode' },
  { pool: 'retrievers', kind: 'retrieve' },
  { pool: 'rerankers', kind: 'rerank' },
  { pool: 'engines', kind: 'generate' },
  { pool: 'ledgers', kind: 'call' },
];
const SERVICE_MS = 3;
const TOKEN_MS = 3;

const startServer = (kind: WorldServer['kind'], serverId: string, ledger: Ledger, options: ServersOptions) => {
  const listen = { address: ADDRESS, port: 0 };
  const { clock, observe } = options;
  return kind === 'generate'
    ? startEngine(listen, { clock, serverId, tokenMs: TOKEN_MS, tokensPerAnswer: TOKENS_PER_ANSWER, observe })
    : startStageServer(listen, {
        clock,
        serverId,
        kind,
        serviceMs: SERVICE_MS,
        checkKeys: options.variant === 'check-keys',
        ...(kind === 'call' ? { ledger } : {}),
        observe,
      });
};

/**
 * Starts one server of each pool in each failure domain. The ledger servers share one ledger.
 *
 * @param options - clock, treatment of idempotency keys, failure domains and observer
 * @returns the servers and the number of executions of the `once` stage by idempotency key
 */
export default async function startServers(
  options: ServersOptions,
): Promise<{ readonly servers: readonly WorldServer[]; readonly executions: ReadonlyMap<string, number> }> {
  const ledger = createLedger();
  const servers = await Promise.all(
    POOLS.flatMap(({ pool, kind }) =>
      options.failureDomains.map(async (failureDomain, index): Promise<WorldServer> => {
        const serverId = `${pool}-${index}`;
        return { serverId, pool, kind, failureDomain, server: await startServer(kind, serverId, ledger, options) };
      }),
    ),
  );
  return { servers, executions: ledger.executions };
}
