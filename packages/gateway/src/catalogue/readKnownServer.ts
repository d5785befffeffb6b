import { toError } from '@bergamotcove/errors';
import { reportReaderFault, type Logger } from '@bergamotcove/log';
import type { CatalogueFormat } from '../ports.js';
import type { KnownServer, StoredServer } from './BackendDirectory.js';

/**
 * Reads the entry of a server. An exception of its parser is reported, and concerns no other entry.
 *
 * @param stored - entry as it is in the store
 * @param regions - regions by failure domain
 * @param ports - format of entries, and logger
 * @returns the server; undefined when the entry names none, or names an unknown failure domain
 */
export default function readKnownServer(
  { serverId, text }: StoredServer,
  regions: Readonly<Record<string, string>>,
  { format, logger }: { readonly format: Pick<CatalogueFormat, 'readServer'>; readonly logger: Logger },
): KnownServer | undefined {
  try {
    const entry = format.readServer(serverId, text);
    return entry === undefined || !Object.hasOwn(regions, entry.failureDomain)
      ? undefined
      : { ...entry, region: regions[entry.failureDomain] as string };
  } catch (cause) {
    reportReaderFault(logger, toError(cause), { serverId });
    return undefined;
  }
}
