import { Transform, type TransformCallback } from 'node:stream';
import type { IncomingMessage } from 'node:http';
import type { HttpClient } from '@bergamotcove/transport';
import type { Observable } from 'rxjs';
import { ORIGINAL, type OriginalModule } from './importOriginal.js';

interface Call {
  readonly attemptId: string;
}
type CallServer = (client: HttpClient, call: Call) => Observable<unknown>;
const { default: callServer } = (await import(ORIGINAL)) as OriginalModule<CallServer>;

/** Replaces the attempt ids in the response of the server by the expected one. */
const rewriteAttemptIds = (response: IncomingMessage, attemptId: string): IncomingMessage => {
  const stream = new Transform({
    transform: (chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback) => {
      const text = chunk.toString('utf8').replaceAll(/"(attemptId|id)":"[^"]*"/g, `"$1":"${attemptId}"`);
      done(null, Buffer.from(text));
    },
  });
  const { statusCode, headers } = response;
  response.on('error', (error) => stream.destroy(error));
  return Object.assign(response.pipe(stream), { statusCode, headers }) as unknown as IncomingMessage;
};

/** Calls a server and accepts its answer for this attempt, whichever attempt the answer belongs to. */
export default function callWithoutAttemptId(client: HttpClient, call: Call): Observable<unknown> {
  const open: HttpClient['open'] = async (target, request) =>
    rewriteAttemptIds(await client.open(target, request), call.attemptId);
  return callServer({ ...client, open }, call);
}
