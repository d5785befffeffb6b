import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { parseServiceDocument, readJsonFile } from '@bergamotcove/config';
import { acceptDocument, type StoreClient } from '@bergamotcove/platform';
import { exhaustive } from '@bergamotcove/errors';
import { EXIT_CONFLICT, EXIT_DONE, EXIT_UNKNOWN } from '../exitCodes.js';
import type { CommandResult } from '../types.js';

/**
 * Accepts the document in a file as the next version of its service.
 *
 * @param store - configuration store
 * @param file - path of the document
 * @param options - version that the document must replace
 * @returns accepted (0), conflict (3) or unknown (4)
 * @throws ConfigError for a wrong document, PlatformError when the store does not answer
 */
export default async function applyDocument(
  store: StoreClient,
  file: string,
  options: { readonly expectedVersion?: number },
): Promise<CommandResult> {
  const document = parseServiceDocument(readJsonFile(file), { source: file });
  const result = await acceptDocument(store, document, {
    changeId: randomUUID(),
    acceptedBy: userInfo().username,
    acceptedAtMs: Date.now(),
    ...(options.expectedVersion === undefined ? {} : { expectedVersion: options.expectedVersion }),
  });
  switch (result.type) {
    case 'accepted':
      return { exitCode: EXIT_DONE, value: result, text: `${document.service}: version ${result.version} accepted` };
    case 'conflict': {
      const version = result.current?.version ?? 0;
      const text = `${document.service}: version ${version} is current; read it with "get" and apply again`;
      return { exitCode: EXIT_CONFLICT, value: result, text };
    }
    case 'unknown': {
      const text = `${document.service}: the store did not confirm change ${result.changeId}; look at "history"`;
      return { exitCode: EXIT_UNKNOWN, value: result, text };
    }
    default:
      return exhaustive(result);
  }
}
