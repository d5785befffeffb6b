import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fetchHostList } from '@bergamotcove/backends';
import { startHostList, type StandinHost } from '@bergamotcove/standins';
import { createHttpClient } from '@bergamotcove/transport';

const ADDRESS = '127.0.0.1';
const host = (id: string): StandinHost => ({
  id,
  role: 'entry',
  address: ADDRESS,
  port: 1,
  failureDomain: 'domain-0',
  region: 'region-0',
});

test('an unchanged list is not sent again, and a changed or a failing one is never taken as unchanged', async () => {
  const list = await startHostList({ address: ADDRESS, port: 0 }, { hosts: [host('a')] });
  const http = createHttpClient();
  const read = (etag?: string) =>
    fetchHostList(http, {
      url: `http://${ADDRESS}:${list.port}/v1/hosts`,
      timeoutMs: 1_000,
      ...(etag === undefined ? {} : { etag }),
    });
  try {
    const first = await read();
    assert.ok(first?.etag !== undefined);
    assert.equal(await read(first.etag), undefined);
    list.setHosts([host('a'), host('b')]);
    const second = await read(first.etag);
    assert.deepEqual(
      second?.hosts.map(({ id }) => id),
      ['a', 'b'],
    );
    assert.notEqual(second?.etag, first.etag);
    list.setFaults({ down: true });
    await assert.rejects(read(second?.etag), /could not be read/u);
  } finally {
    http.close();
    await list.close();
  }
});
