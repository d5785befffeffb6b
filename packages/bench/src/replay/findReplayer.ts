import {
  advanceMembership,
  advancePoison,
  advanceRequest,
  advanceShard,
  createMembershipState,
  createRequestState,
  createShardState,
  type MembershipEvent,
  type MembershipState,
  type PoisonEvent,
  type PoisonState,
  type RequestEvent,
  type RequestPlan,
  type RequestState,
  type ShardEvent,
  type ShardState,
} from '@bergamotcove/decide';
import type { ReducerName, Replayer } from './types.js';

type TraceEvent = Readonly<Record<string, unknown>>;

const requestReplayer: Replayer<RequestState> = {
  start: (initial) => createRequestState((initial as { readonly plan: RequestPlan }).plan),
  // A trace records the reducer's own events as JSON.
  advance: (state, event, atMs) => advanceRequest(state, event as unknown as RequestEvent, atMs),
};

/** Converts the records of a snapshot from an object to a map, because JSON has no maps. */
const reviveShardEvent = (event: TraceEvent): ShardEvent => {
  const { snapshot } = event as { readonly snapshot?: { readonly records: object } };
  const revived =
    snapshot === undefined
      ? event
      : {
          ...event,
          snapshot: {
            runs: [],
            segments: [],
            nextSegment: 1,
            ...snapshot,
            records: new Map(Object.entries(snapshot.records)),
          },
        };
  return revived as unknown as ShardEvent;
};

/** State of a shard and the id of its host. */
interface ShardReplay {
  readonly shard: ShardState;
  readonly hostId: string;
}

const shardReplayer: Replayer<ShardReplay> = {
  start: (initial) => ({ shard: createShardState(), hostId: (initial as { readonly hostId: string }).hostId }),
  advance: ({ shard, hostId }, event, atMs) => {
    const step = advanceShard(shard, reviveShardEvent(event), atMs, { hostId, wallMs: atMs });
    return { state: { shard: step.state, hostId }, actions: step.actions };
  },
};

const poisonReplayer: Replayer<PoisonState> = {
  start: () => ({ crashes: [], blocks: new Map() }),
  advance: (state, event, atMs) => {
    const step = advancePoison(state, event as unknown as PoisonEvent, atMs);
    return { state: step.state, actions: step.blocked };
  },
};

/** Random source that always selects the first peer, so that the actions of a trace are deterministic. */
const returnZero = (): number => 0;

const membershipReplayer: Replayer<MembershipState> = {
  start: (initial) => createMembershipState((initial as Pick<MembershipState, 'self'>).self, 0),
  advance: (state, event, atMs) => advanceMembership(state, event as unknown as MembershipEvent, atMs, returnZero),
};

/** Replayers by reducer name. */
const REPLAYERS: Readonly<Record<ReducerName, Replayer<unknown>>> = {
  request: requestReplayer,
  shard: shardReplayer,
  poison: poisonReplayer,
  membership: membershipReplayer,
};

/**
 * Finds the replayer of a reducer.
 *
 * @param reducer - name of the reducer in a trace
 * @returns the replayer
 */
export default function findReplayer(reducer: ReducerName): Replayer<unknown> {
  return REPLAYERS[reducer];
}
