import ConfigError from './ConfigError.js';
import parseWith from './parseWith.js';
import { acceptedDocumentSchema, serviceDocumentSchema } from './serviceDocumentSchema.js';
import type { AcceptedDocument, ServiceDocument } from './types.js';

const parseJson = (text: string, source: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    // The parser's message quotes the text, which may be long; the cause keeps it.
    throw new ConfigError('unreadable', `${source}: expected JSON, found other text`, { cause });
  }
};

/**
 * Checks a service document that an operator wrote.
 *
 * @param value - parsed JSON
 * @param options - `source` names the file in errors
 * @returns the document with defaults filled in
 * @throws ConfigError with one problem per wrong field
 * @example
 * parseServiceDocument(JSON.parse(text), { source: 'clerk.json' });
 */
export function parseServiceDocument(value: unknown, options: { readonly source: string }): ServiceDocument {
  return parseWith(serviceDocumentSchema, value, options);
}

/**
 * Checks an accepted document read from the store or a peer.
 *
 * @param text - JSON text
 * @param options - `source` names the key in errors
 * @returns the accepted document
 * @throws ConfigError when the text is not JSON or has wrong fields
 */
export function parseAcceptedDocument(text: string, options: { readonly source: string }): AcceptedDocument {
  return parseWith(acceptedDocumentSchema, parseJson(text, options.source), options);
}
