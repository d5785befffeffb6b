import { createHash } from 'node:crypto';

/** What makes two requests of callers the same one. */
export interface RequestIdentity {
  readonly method: string;
  readonly path: string;
  readonly organisation: string | undefined;
  readonly body: Buffer | undefined;
}

const FINGERPRINT_CHARS = 22;

/**
 * Formats the fingerprint of a request: the same request gets the same one on every host.
 *
 * @param identity - what makes it the same
 * @returns characters of base64url
 */
export default function formatFingerprint({ method, path, organisation, body }: RequestIdentity): string {
  return createHash('sha256')
    .update(JSON.stringify([method, path, organisation ?? null]))
    .update(body ?? '')
    .digest('base64url')
    .slice(0, FINGERPRINT_CHARS);
}
