import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock } from '@bergamotcove/clock';
import { packMessage } from '../packMessage.js';
import createTestPeer from '../testing/createTestPeer.js';
import listBrokenAnswers from '../testing/listBrokenAnswers.js';
import createCatalogueLog from './createCatalogueLog.js';
import createCatalogueRelay, { type CatalogueRelayOptions } from './createCatalogueRelay.js';

const ENTRY = { key: 'servers/s1', value: '{}', revision: 5 };
const TARGET = { address: '10.0.0.2', port: 1 };

/** Lets a host miss changes and read them from a relay that gives an answer; returns what the host then knows. */
const readMissing = async (answer: unknown) => {
  const events: string[] = [];
  const log = createCatalogueLog({ onSnapshot: () => undefined, onChanges: () => undefined });
  log.replace({ era: 1, revision: 5, entries: [ENTRY] });
  const relay = createCatalogueRelay({
    clock: createManualClock(),
    logger: { event: (name: string) => events.push(name) },
    links: { call: () => Promise.resolve(answer) },
    log,
    onMessage: () => undefined,
    onReturning: () => undefined,
  } as unknown as CatalogueRelayOptions);
  const batch = packMessage({ era: 1, fromRevision: 7, toRevision: 8, changes: [] });
  const push = { hostId: 'relay', target: TARGET, state: 'live', era: 1, toRevision: 8, batch };
  relay.methods['catalogue.push']?.(push, createTestPeer().peer);
  await new Promise(setImmediate);
  return { events, position: log.position, known: log.since({ era: 0, revision: 0 }) };
};

listBrokenAnswers().forEach(({ name, answer }) =>
  test(`a host keeps what it knows when its relay answers with ${name}`, async () => {
    const { events, position, known } = await readMissing(answer);
    assert.deepEqual(events, ['catalogueBehind', 'peerMessageInvalid']);
    assert.deepEqual(position, { era: 1, revision: 5 });
    assert.deepEqual(known, { era: 1, revision: 5, entries: [ENTRY] });
  }),
);

test('a host takes over the snapshot, or the changes, that its relay answers with', async () => {
  const entry = { key: 'servers/s2', value: '{}', revision: 8 };
  const snapshot = await readMissing(packMessage({ era: 1, revision: 8, entries: [entry] }));
  assert.deepEqual(snapshot.known, { era: 1, revision: 8, entries: [entry] });
  const changes = [{ key: ENTRY.key, revision: 7 }, entry];
  const changed = await readMissing(packMessage({ era: 1, fromRevision: 5, toRevision: 8, changes }));
  assert.deepEqual(changed.known, { era: 1, revision: 8, entries: [entry] });
});
