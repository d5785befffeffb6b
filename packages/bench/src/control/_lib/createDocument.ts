import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parseServiceDocument, type ServiceDocument } from '@bergamotcove/config';
import type { VersionedDocument } from '@bergamotcove/protocol';
import type { StoreEntry } from '@bergamotcove/backends';
import { exampleFile } from '../../deployment/paths.js';

/** Size of a typical document; documents have 2 to 8 KB. */
const DOCUMENT_BYTES = 4_000;

const HASH_CHARS = 16;

const sample: unknown = JSON.parse(readFileSync(exampleFile('brescia', 'clerk-backend-server'), 'utf8'));

/** A valid document of typical size for the service. */
export function createDocument(service: string): ServiceDocument {
  const document = parseServiceDocument({ ...(sample as object), service }, { source: service });
  const padding = DOCUMENT_BYTES - JSON.stringify(document).length;
  return { ...document, team: document.team.padEnd(Math.max(0, padding), '.') };
}

/** Reads a head as an entry host does, without the cost of the schema check. */
export function readVirtualHead({ value }: StoreEntry): VersionedDocument {
  const { document, version } = JSON.parse(value) as {
    readonly document: { readonly service: string };
    readonly version: number;
  };
  const hash = createHash('sha256').update(value).digest('hex').slice(0, HASH_CHARS);
  return { service: document.service, version, hash, text: value };
}
