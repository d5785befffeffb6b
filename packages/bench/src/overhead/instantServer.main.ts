/** A backend server that answers at once: the floor of the overhead measurement. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

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

const server = http.createServer((request, response) => {
  answer(request, response).catch(() => response.destroy());
});
server.listen(0, '127.0.0.1', () => {
  console.log(JSON.stringify({ ready: true, port: (server.address() as AddressInfo).port }));
});
process.on('SIGTERM', () => process.exit(0));
