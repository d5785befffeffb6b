import { Observable } from 'rxjs';
import { TransportError, type HttpClient, type Target } from '@bergamotcove/transport';
import BackendError from '../BackendError.js';
import { encodeText, decodeText, parseAnswer, prefixEnd, toEntry, watchAnswerSchema } from './_lib/wire.js';
import type { WatchEvent } from './types.js';

const parseWatchLine = (line: string): readonly WatchEvent[] => {
  const { result } = parseAnswer(watchAnswerSchema, line);
  const started: readonly WatchEvent[] = result.created ? [{ type: 'started', revision: result.header.revision }] : [];
  const changes = result.events.map((event): WatchEvent => {
    if (event.type === 'DELETE') {
      return { type: 'delete', key: decodeText(event.kv.key ?? '') };
    }
    const entry = { key: '', value: '', create_revision: '0', mod_revision: '0', ...event.kv };
    return { type: 'put', entry: toEntry(entry) };
  });
  return [...started, ...changes];
};

/**
 * Watches the keys that start with a prefix. The answer is a stream of newline-delimited JSON.
 *
 * @param client - HTTP client
 * @param target - address of the store
 * @param options - prefix, and first revision whose changes are reported
 * @returns the changes; the observable fails with BackendError when the stream breaks
 */
export default function watchStore(
  client: HttpClient,
  target: Target,
  options: { readonly prefix: string; readonly fromRevision: string },
): Observable<WatchEvent> {
  return new Observable((subscriber) => {
    const abort = new AbortController();
    const body = JSON.stringify({
      create_request: {
        key: encodeText(options.prefix),
        range_end: encodeText(prefixEnd(options.prefix)),
        start_revision: options.fromRevision,
      },
    });
    const read = async (): Promise<void> => {
      const response = await client.open(target, { method: 'POST', path: '/v3/watch', body, signal: abort.signal });
      if (response.statusCode !== 200) {
        response.resume();
        throw new BackendError('rejected', `the store answered a watch with status ${response.statusCode}`);
      }
      const decoder = new TextDecoder();
      let pending = '';
      for await (const chunk of response) {
        const lines = (pending + decoder.decode(chunk as Buffer, { stream: true })).split('\n');
        pending = lines.pop() ?? '';
        lines
          .filter((line) => line !== '')
          .flatMap(parseWatchLine)
          .forEach((event) => subscriber.next(event));
      }
      throw new TransportError('connection-lost', 'the store closed the watch');
    };
    read().catch((cause: unknown) => {
      subscriber.error(
        cause instanceof BackendError ? cause : new BackendError('unavailable', 'the watch broke', { cause }),
      );
    });
    return () => abort.abort();
  });
}
