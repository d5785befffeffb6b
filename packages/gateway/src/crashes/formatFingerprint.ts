import { createHash } from 'node:crypto';

/** Properties that identify a caller's request; requests with equal ones count as the same request. */
export interface RequestIdentity {
  readonly method: string;
  readonly path: string;
  readonly organisation: string | undefined;
  readonly body: Buffer | undefined;
}

const FINGERPRINT_CHARS = 22;

/**
 * Formats the fingerprint of a request. The same request has the same fingerprint on every host.
 *
 * @param identity - properties that identify the request
 * @returns the first 22 characters of a SHA-256 hash in base64url
 */
export default function formatFingerprint({ method, path, organisation, body }: RequestIdentity): string {
  return createHash('sha256')
    .update(JSON.stringify([method, path, organisation ?? null]))
    .update(body ?? '')
    .digest('base64url')
    .slice(0, FINGERPRINT_CHARS);
}
