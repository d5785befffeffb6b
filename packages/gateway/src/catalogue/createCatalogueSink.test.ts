import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HostRegistry } from '../hosts/createHostRegistry.js';
import createCatalogueSink, { type CatalogueConsumers } from './createCatalogueSink.js';

const FORMAT = {
  routeTableKey: 'table',
  agreedOriginsKey: 'origins',
  serverPrefix: 'servers/',
  hostPrefix: 'hosts/',
  blockPrefix: 'blocks/',
  releasePrefix: 'releases/',
  evacuationPrefix: 'evacuations/',
};
const KEYS = ['table', 'origins', 'servers/a', 'servers/b', 'hosts/a', 'blocks/a', 'releases/a', 'evacuations/a'];
const ENTRIES = KEYS.map((key) => ({ key, value: key, revision: 1 }));

/** Creates a sink whose consumers throw an exception for one key; lists the others that were called. */
const createFixture = (faultyKey: string) => {
  const seen: string[] = [];
  const reports: unknown[] = [];
  const take = (...keys: readonly string[]): void => {
    seen.push(...keys);
    assert.ok(!keys.includes(faultyKey), 'a fault of this test');
  };
  const consumers = {
    logger: { event: (name: string, fields: object) => reports.push([name, (fields as { error?: string }).error]) },
    format: FORMAT,
    tables: { offer: ({ text }: { readonly text: string }) => take(text) },
    directory: {
      put: ({ text }: { readonly text: string }) => take(text),
      remove: (serverId: string) => take(`servers/${serverId}`),
      replace: ({ servers }: { readonly servers: readonly { readonly text: string }[] }) =>
        take(...servers.map(({ text }) => text)),
    },
    evacuations: {
      put: (domain: string) => take(`evacuations/${domain}`),
      remove: (domain: string) => take(`evacuations/${domain}`),
      replace: ({ domains }: { readonly domains: readonly string[] }) =>
        take(...domains.map((domain) => `evacuations/${domain}`)),
    },
    blocks: {
      put: ({ text }: { readonly text: string }) => take(text),
      putRelease: ({ text }: { readonly text: string }) => take(text),
      remove: (fingerprint: string) => take(`blocks/${fingerprint}`),
      removeRelease: (fingerprint: string) => take(`releases/${fingerprint}`),
      replace: ({ blocks, releases }: Record<'blocks' | 'releases', readonly { readonly text: string }[]>) =>
        take(...[...blocks, ...releases].map(({ text }) => text)),
    },
    origins: { putAgreed: (text: string) => take(text) },
  } as unknown as CatalogueConsumers;
  const hosts = {
    replace: (records: readonly { readonly text: string }[]) => take(...records.map(({ text }) => text)),
    update: ({ put = [] }: { readonly put?: readonly { readonly text: string }[] }) =>
      take(...put.map(({ text }) => text)),
  } as unknown as HostRegistry;
  return { sink: createCatalogueSink(consumers, () => hosts), seen, reports };
};

KEYS.forEach((faultyKey) => {
  test(`an exception over ${faultyKey} keeps no other entry from its consumer, in a snapshot or in changes`, () => {
    const { sink, seen, reports } = createFixture(faultyKey);
    sink.onSnapshot({ entries: ENTRIES, revision: 1, era: 0 }, false);
    assert.deepEqual(seen.splice(0).sort(), [...KEYS].sort());
    sink.onChanges(ENTRIES, 0);
    assert.deepEqual(seen.splice(0).sort(), [...KEYS].sort());
    assert.deepEqual(reports, Array(2).fill(['answerReaderFailed', 'a fault of this test']));
  });
});
