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

/** Receives the documents that the configuration distribution delivers. */
export interface DocumentSink {
  /** Puts a document in force if its version is newer; logs `configInvalid` for a document that cannot be parsed. */
  apply(document: VersionedDocument): void;
}

/**
 * Creates the holder of the service documents in force. A document replaces only a lower version of its service.
 *
 * @param options - logger of applied and invalid documents
 * @returns the holder, without documents
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
