/** A backend server that answers at once and streams tokens at a fixed pace: the floor of the overhead measurement. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { STREAM_TOKEN_GAP_MS, STREAM_TOKENS } from './constants.js';

const readText = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
};

const answer = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
  const { attemptId } = JSON.parse((await readText(request)) || '{}') as { readonly attemptId?: string };
  const body = JSON.stringify({ attemptId, output: { vector: [0.25, 0.5, 0.75] } });
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) });
  response.end(body);
};

const formatChunk = (id: string, index: number, finishReason: string | null): string => {
  const choice = { index: 0, text: finishReason === null ? `token${index} ` : '', finish_reason: finishReason };
  return `data: ${JSON.stringify({ id, token_index: index, choices: [choice] })}\n\n`;
};

/** Each token leaves in a write of its own, as an engine sends it. */
const stream = (request: http.IncomingMessage, response: http.ServerResponse): void => {
  const id = String(request.headers['x-attempt-id'] ?? 'none');
  request.resume();
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  let index = 0;
  const timer = setInterval(() => {
    if (index < STREAM_TOKENS) {
      response.write(formatChunk(id, index, null));
      index += 1;
      return;
    }
    clearInterval(timer);
    response.end(`${formatChunk(id, index, 'stop')}data: [DONE]\n\n`);
  }, STREAM_TOKEN_GAP_MS);
  response.on('close', () => clearInterval(timer));
};

const server = http.createServer((request, response) => {
  if (request.url === '/v1/completions') {
    stream(request, response);
    return;
  }
  answer(request, response).catch(() => response.destroy());
});
server.listen(0, '127.0.0.1', () => {
  console.log(JSON.stringify({ ready: true, port: (server.address() as AddressInfo).port }));
});
process.on('SIGTERM', () => process.exit(0));
