/** A plain forwarder on Node `http` without any logic: the baseline of the overhead measurement. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

const targetPort = Number(process.argv[2]);
const agent = new http.Agent({ keepAlive: true });

const server = http.createServer((request, response) => {
  const outgoing = http.request(
    {
      agent,
      host: '127.0.0.1',
      port: targetPort,
      method: request.method ?? 'POST',
      path: request.url ?? '/',
      headers: request.headers,
    },
    (incoming) => {
      response.writeHead(incoming.statusCode ?? 502, incoming.headers);
      incoming.pipe(response);
    },
  );
  outgoing.on('error', () => response.destroy());
  request.pipe(outgoing);
});
server.listen(0, '127.0.0.1', () => {
  console.log(JSON.stringify({ ready: true, port: (server.address() as AddressInfo).port }));
});
process.on('SIGTERM', () => process.exit(0));
