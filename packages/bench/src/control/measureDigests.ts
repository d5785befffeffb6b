import { performance } from 'node:perf_hooks';
import { compareVersions, hashVersions } from '@bergamotcove/decide';
import type { DocumentVersion } from '@bergamotcove/protocol';
import type { Figure, Measure } from './types.js';

const SIZES = [5, 34, 1_000];
const FANOUT = 16;
const HASH_CHARS = 16;
const REPEATS = 200;
/** Headers of a call and its answer. */
const CALL_BYTES = 800;

const createVersions = (count: number): readonly DocumentVersion[] =>
  Array.from({ length: count }, (_, index) => ({
    service: `service-${String(index).padStart(4, '0')}`,
    version: 1 + (index % 50),
    hash: hashVersions([{ service: String(index), version: 1, hash: '' }]),
  }));

/** Hashes of the nodes of one level, from the level below. */
const hashLevel = (hashes: readonly string[]): readonly string[] =>
  Array.from({ length: Math.ceil(hashes.length / FANOUT) }, (_, index) =>
    hashVersions(
      hashes
        .slice(index * FANOUT, (index + 1) * FANOUT)
        .map((hash, place) => ({ service: String(place), version: 1, hash })),
    ),
  );

/** Levels of the hash tree from the root down; leaves are groups of documents. */
const buildTree = (versions: readonly DocumentVersion[]): readonly (readonly string[])[] => {
  const leaves = Array.from({ length: Math.ceil(versions.length / FANOUT) }, (_, index) =>
    hashVersions(versions.slice(index * FANOUT, (index + 1) * FANOUT)),
  );
  const levels: (readonly string[])[] = [leaves];
  while ((levels[0]?.length ?? 1) > 1) {
    levels.unshift(hashLevel(levels[0] ?? []));
  }
  return levels;
};

/** Calls and bytes to find one changed document by descending the tree; each level is one call. */
const descend = (versions: readonly DocumentVersion[]) => {
  const levels = buildTree(versions);
  const inner = levels.slice(1).reduce((sum, level) => sum + Math.min(FANOUT, level.length) * (HASH_CHARS + 3), 0);
  const leafBytes = JSON.stringify(versions.slice(0, FANOUT)).length;
  const calls = levels.length;
  return { calls, bytes: inner + leafBytes + calls * CALL_BYTES };
};

const timeUs = (run: () => unknown): number => {
  const startMs = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat += 1) {
    run();
  }
  return ((performance.now() - startMs) * 1_000) / REPEATS;
};

const measureSize = (count: number): readonly Figure[] => {
  const versions = createVersions(count);
  const changed = versions.map((item, index) => (index === 0 ? { ...item, version: item.version + 1 } : item));
  const flatBytes = JSON.stringify(versions).length + CALL_BYTES;
  const tree = descend(versions);
  return [
    { name: `${count} documents, flat list, bytes`, value: flatBytes, unit: 'B' },
    { name: `${count} documents, flat list, calls`, value: 1, unit: '1' },
    {
      name: `${count} documents, flat list, time`,
      value: timeUs(() => compareVersions(versions, changed)),
      unit: 'us',
    },
    { name: `${count} documents, hash tree, bytes`, value: tree.bytes, unit: 'B' },
    { name: `${count} documents, hash tree, calls`, value: tree.calls, unit: '1' },
    { name: `${count} documents, hash tree, time to build`, value: timeUs(() => buildTree(versions)), unit: 'us' },
    { name: `${count} documents, digest of all, time`, value: timeUs(() => hashVersions(versions)), unit: 'us' },
  ];
};

/** Cost of finding one changed document by a flat list of versions and by a hash tree of fan-out 16. */
const measureDigests: Measure = ({ seed }) =>
  Promise.resolve({ measurement: 'digests', seed, figures: SIZES.flatMap(measureSize) });

export default measureDigests;
