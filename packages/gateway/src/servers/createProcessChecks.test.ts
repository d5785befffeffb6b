import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createManualClock, createSystemClock } from '@bergamotcove/clock';
import { createHttpClient, TransportError, type HttpClient } from '@bergamotcove/transport';
import { createRawServer, listBrokenHeads } from '@bergamotcove/transport/testing';
import createProcessChecks, { type ProcessCheckOptions } from './createProcessChecks.js';

const SERVER = { serverId: 's1', pool: 'engines', address: '127.0.0.1', port: 1, startedAtMs: 1 };

// Guards against streams that each wait for a server that does not answer when it is asked for its start.
test('a server that does not answer is asked again only after a pause', async () => {
  const clock = createManualClock();
  let asked = 0;
  const open = (): Promise<never> => {
    asked += 1;
    return Promise.reject(new TransportError('aborted', 'no answer'));
  };
  const checks = createProcessChecks({
    clock,
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    directory: { find: () => SERVER },
    format: { statePath: '/', readStart: () => undefined },
    clientOf: () => ({ open }) as unknown as HttpClient,
  } as unknown as ProcessCheckOptions);
  const check = (): Promise<string> => checks.check(SERVER as unknown as Parameters<typeof checks.check>[0]);
  assert.deepEqual([await check(), await check(), await check(), asked], ['silent', 'silent', 'silent', 1]);
  clock.advance(2_000);
  assert.deepEqual([await check(), asked], ['silent', 2]);
});

/** Checks a server that answers with the given bytes when it is asked for its start. */
const checkServer = async (answer: string): Promise<string> => {
  const server = await createRawServer((_, socket) => socket.end(answer, 'latin1'));
  const client = createHttpClient();
  const listed = { ...SERVER, port: server.port };
  const checks = createProcessChecks({
    clock: createSystemClock(),
    logger: { event: () => undefined },
    metrics: { report: () => undefined },
    directory: { find: () => listed },
    format: { statePath: '/', readStart: (body: string) => (body === 'whole' ? SERVER.startedAtMs : undefined) },
    clientOf: () => client,
  } as unknown as ProcessCheckOptions);
  try {
    return await checks.check(listed as unknown as Parameters<typeof checks.check>[0]);
  } finally {
    client.close();
    server.close();
  }
};

test('a server whose answer has a broken head has not stated its start', async () => {
  await Promise.all(
    listBrokenHeads().map(async ({ name, isInvalid, format }) => {
      const check = await checkServer(format(''));
      const expected = isInvalid ? ['silent', 'flooding'] : ['silent', 'stated'];
      assert.ok(expected.includes(check), `${name}: ${check}`);
    }),
  );
});
