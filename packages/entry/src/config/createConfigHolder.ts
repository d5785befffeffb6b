import { parseAcceptedDocument, type AcceptedDocument } from '@bergamotcove/config';
import type { Logger } from '@bergamotcove/log';
import type { VersionedDocument } from '@bergamotcove/protocol';

/** Options of {@link createConfigHolder}. */
export interface ConfigHolderOptions {
  readonly logger: Logger;
}

/** Service documents in force on this host. */
export interface ConfigHolder {
  get(service: string): AcceptedDocument | undefined;
  list(): readonly AcceptedDocument[];
}

/** Takes the documents that the distribution puts in force. */
export interface DocumentSink {
  apply(document: VersionedDocument): void;
}

/**
 * Holds the service documents in force. A document replaces only a lower version of its service.
 *
 * @param options - logger
 * @returns the holder
 * @example
 * const holder = createConfigHolder({ logger });
 * holder.apply({ service: 'clerk', version: 2, hash, text });
 */
export default function createConfigHolder({ logger }: ConfigHolderOptions): ConfigHolder & DocumentSink {
  const documents = new Map<string, AcceptedDocument>();
  return {
    get: (service) => documents.get(service),
    list: () => [...documents.values()],
    apply: ({ service, version, text }) => {
      try {
        const accepted = parseAcceptedDocument(text, { source: service });
        if (accepted.version > (documents.get(service)?.version ?? 0)) {
          documents.set(service, accepted);
          logger.event('configApplied', { service, version });
        }
      } catch (cause) {
        logger.event('configInvalid', { service, version, error: String(cause) });
      }
    },
  };
}
