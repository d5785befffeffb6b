import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { createSystemClock } from '@bergamotcove/clock';
import { listBrokenHeads } from '@bergamotcove/transport/testing';
import COMMANDS from '../commands/index.js';
import runCli from '../cli/runCli.js';
import { EXIT_FAILED } from '../exitCodes.js';
import createTestPorts from '../testing/createTestPorts.js';
import callHost from './callHost.js';

const DEEP_LEVELS = 100_000;
const deep = '['.repeat(DEEP_LEVELS) + ']'.repeat(DEEP_LEVELS);

/** Results of a host's status that are none. */
const RESULTS = ['null', '5', '"text"', '[null]', '{}', '{"hostId":5}', deep, `{"hostId":"a","services":${deep}}`];

const formatHttp = (body: string): string => `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

/** Formats the answer to the call with an id. */
type FormatAnswer = (id: number) => string;

/** Starts a host that writes its answer as it is, to a call over HTTP or a link, and ends the connection. */
const startHost = async (format: FormatAnswer): Promise<net.Server> => {
  const server = net.createServer((socket) => {
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const id = /"id":(\d+)/.exec(text)?.[1];
      if (id !== undefined && /\}\n?$/.test(text)) {
        text = '';
        socket.end(format(Number(id)), 'latin1');
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
};

/** Reads the status of a host; returns the exit code and the output. */
const readStatus = async (scheme: 'http' | 'link', format: FormatAnswer) => {
  const server = await startHost(format);
  const output: string[] = [];
  const write = (line: string): void => {
    output.push(line);
  };
  const ports = createTestPorts({ clock: createSystemClock(), callHost, writeOut: write, writeErr: write });
  const url = `${scheme}://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const exitCode = await runCli(COMMANDS, ['status', '--host', url], ports);
  server.close();
  return { exitCode, output: output.join('\n') };
};

const assertFailed = async (scheme: 'http' | 'link', name: string, format: FormatAnswer): Promise<void> => {
  const { exitCode, output } = await readStatus(scheme, format);
  assert.equal(exitCode, EXIT_FAILED, name);
  assert.match(output, /1 of 1 hosts did not answer/, name);
};

test('a host whose answer has a broken head is shown as one that did not answer', async () => {
  await Promise.all(
    listBrokenHeads().flatMap(({ name, format }) =>
      (['http', 'link'] as const).map((scheme) => assertFailed(scheme, name, () => format(''))),
    ),
  );
});

test('a host that answers with something else than a status is shown as one that did not answer', async () => {
  const bodies = ['', '{', 'null', '5', '[]', deep];
  const formatResult = (result: string) => (id: number) => `{"jsonrpc":"2.0","id":${id},"result":${result}}`;
  await Promise.all([
    ...bodies.flatMap((body) => [
      assertFailed('http', body, () => formatHttp(body)),
      assertFailed('link', body, () => `${body}\n`),
    ]),
    ...RESULTS.flatMap((result) => [
      assertFailed('http', result, (id) => formatHttp(formatResult(result)(id))),
      assertFailed('link', result, (id) => `${formatResult(result)(id)}\n`),
    ]),
  ]);
});
