/* eslint n/no-sync: "off", no-console: "off", n/no-process-exit: "off", no-await-in-loop: "off", import-x/extensions: "off", n/no-unsupported-features/node-builtins: "off", no-bitwise: "off", max-classes-per-file: "off", no-restricted-syntax: "off", no-param-reassign: "off" */
import http from 'node:http';
import { randomBytes } from 'node:crypto';

export const newId = () => randomBytes(8).toString('hex');

/** Sends one request to a host; resolves with what the client sees, `closed` when the connection ended without an answer. */
export const send = (
  host,
  { path, method = 'POST', headers = {}, body, deadlineMs = 8000, id = newId(), agent = false },
) =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const end = (seen) => resolve({ id, sentAt, endedAt: performance.now(), ...seen });
    const request = http.request({
      host: host.ip,
      port: host.frontPort,
      method,
      path,
      agent,
      headers: { Host: 'site.example', 'X-Attempt-Id': id, 'X-Deadline-Ms': deadlineMs, ...headers },
    });
    const timer = setTimeout(() => request.destroy(), deadlineMs + 300);
    request.on('error', (cause) => end({ closed: true, error: cause.message }));
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () => {
        clearTimeout(timer);
        end({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          complete: response.complete,
          closed: !response.complete,
        });
      });
    });
    request.on('close', () => clearTimeout(timer));
    request.end(body);
  });
