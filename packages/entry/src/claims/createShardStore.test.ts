import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import createMemoryStore from './_lib/createMemoryStore.test.js';
import createCommitQueue from './createCommitQueue.js';
import createShardStore from './createShardStore.js';

const claim = { type: 'claim' as const, bodyHash: 'b', hostId: 'h', wallMs: 0 };

/** Creates a shard whose log has the given number of entries, with a function that compacts it. */
const start = async (entries: number) => {
  let onReply: (call: string) => void = () => undefined;
  const store = createMemoryStore(async (call) => {
    onReply(call);
    return 'answered';
  });
  const clock = createManualClock();
  const commits = createCommitQueue({ clock, store: store.client, intervalMs: () => 1 });
  const shard = createShardStore(store.client, commits, 0);
  for (let seq = 1; seq <= entries; seq += 1) {
    const entry = { entryId: `h/${seq}`, ops: [{ ...claim, keyHash: `k${seq}`, claimId: `c${seq}` }] };
    const appended = shard.append({ type: 'append', seq, snapshotRevision: '0', entry });
    clock.advance(10);
    assert.equal(await appended, true);
  }
  const compact = (throughSeq: number) => {
    const record = { bodyHash: 'b', hostId: 'h', wallMs: 0, status: { type: 'open' as const } };
    const keys = Array.from({ length: throughSeq }, (_, index) => index + 1);
    const records = new Map(keys.map((seq) => [`k${seq}`, { ...record, claimId: `c${seq}` }]));
    const compacted = { records, runs: [], segments: [], nextSegment: 1, sealed: undefined };
    return shard.compact({ type: 'compact', snapshotRevision: '0', throughSeq, compacted, dropped: [] });
  };
  return {
    shard,
    compact,
    onReplyOnce: (call: string, run: () => void) => {
      onReply = (replied) => {
        if (replied === `${call} reply`) {
          onReply = () => undefined;
          run();
        }
      };
    },
  };
};

test('a load that overlaps a compaction between its two reads loses no claim', async () => {
  const { shard, compact, onReplyOnce } = await start(3);
  onReplyOnce('range', () => compact(3).catch(() => assert.fail()));
  const content = await shard.load({ type: 'load', fromSeq: 1, knownRevision: undefined, knownSegments: [] });
  assert.deepEqual([content.snapshot?.throughSeq, content.snapshot?.records.size, content.entries.length], [3, 3, 0]);
});

test('a host that has read further than another host compacted reads the entries in between', async () => {
  const { shard, compact } = await start(4);
  await compact(1);
  const content = await shard.load({ type: 'load', fromSeq: 4, knownRevision: '0', knownSegments: [] });
  assert.equal(content.snapshot?.throughSeq, 1);
  assert.deepEqual(
    content.entries.map(({ seq }) => seq),
    [2, 3, 4],
  );
});
