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
  // Events of a trace are the reducer's own events, recorded as JSON.
  advance: (state, event, atMs) => advanceRequest(state, event as unknown as RequestEvent, atMs),
};

/** JSON has no maps; the records of a snapshot are an object in a trace. */
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

/** State of a shard together with the identity of its host. */
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

/** Draws of peers take the first one, so that the actions of a trace are certain. */
const drawFirst = (): number => 0;

const membershipReplayer: Replayer<MembershipState> = {
  start: (initial) => createMembershipState((initial as Pick<MembershipState, 'self'>).self, 0),
  advance: (state, event, atMs) => advanceMembership(state, event as unknown as MembershipEvent, atMs, drawFirst),
};

/** Replayers by the name of their reducer. */
const REPLAYERS: Readonly<Record<ReducerName, Replayer<unknown>>> = {
  request: requestReplayer,
  shard: shardReplayer,
  poison: poisonReplayer,
  membership: membershipReplayer,
};

/**
 * Finds the replayer of a reducer.
 *
 * @param reducer - name in a trace
 * @returns the replayer
 */
export default function findReplayer(reducer: ReducerName): Replayer<unknown> {
  return REPLAYERS[reducer];
}
