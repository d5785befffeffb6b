import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { HostsChanged, ListedHost } from '@bergamotcove/protocol';
import advanceHostList from './advanceHostList.js';
import createHostListState from './createHostListState.js';
import diffHosts from './diffHosts.js';
import type { HostListEvent, HostListState } from './types.js';

const SEED = 7;
const SELF = { hostId: 'entry-0', address: 'a', peersPort: 1, failureDomain: 'd', region: 'r' };

const toHost = (index: number, state: ListedHost['state']): ListedHost => ({
  id: `server-${index}`,
  role: 'server',
  address: 'a',
  port: 1,
  failureDomain: 'd',
  region: 'r',
  state,
});

/** Entries at a revision; each revision changes, adds and removes some. */
const listAt = (revision: number): readonly ListedHost[] =>
  Array.from({ length: 6 }, (_, index) => index)
    .filter((index) => (index + revision) % 4 !== 0)
    .map((index) => toHost(index, (index * revision) % 3 === 0 ? 'leaving' : 'live'));

const byId = (hosts: readonly ListedHost[]) => new Map(hosts.map((host) => [host.id, host] as const));

const createNotice = (before: number, revision: number): HostsChanged => {
  const { changed, removed } = diffHosts(byId(listAt(before)), byId(listAt(revision)));
  return { from: 'entry-1', before, revision, changed: [...changed], removed: [...removed] };
};

const eventArbitrary: fc.Arbitrary<HostListEvent> = fc.oneof(
  fc
    .integer({ min: 1, max: 9 })
    .map((revision) => ({ type: 'read', list: { revision, hosts: listAt(revision) } }) as const),
  fc
    .tuple(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 9 }))
    .map(([a, b]) => ({ type: 'heard', notice: createNotice(Math.min(a, b), Math.max(a, b)) }) as const),
  fc.constantFrom<HostListEvent>({ type: 'tick' }, { type: 'read-failed' }, { type: 'read-unchanged' }),
);

test('after reordered, repeated or missing notices, the entries are those that the list has at its revision', () => {
  fc.assert(
    fc.property(fc.array(eventArbitrary, { maxLength: 40 }), (events) => {
      let state: HostListState = createHostListState(SELF, { readMs: 1_000, nowMs: 0 });
      events.forEach((event, index) => {
        // The whole run is shorter than the time after which an older list is applied.
        const before = state.known?.revision ?? 0;
        ({ state } = advanceHostList(state, event, index * 100, () => 0.5));
        assert.ok((state.known?.revision ?? 0) >= before);
        if (state.known !== undefined) {
          const { changed, removed } = diffHosts(state.known.hosts, byId(listAt(state.known.revision)));
          assert.deepEqual({ changed, removed }, { changed: [], removed: [] });
        }
      });
    }),
    { seed: SEED, numRuns: 500 },
  );
});
