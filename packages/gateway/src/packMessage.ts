import { gunzipSync, gzipSync } from 'node:zlib';

/** A message as it is sent. Long messages are compressed, because route tables are repetitive. */
export type PackedMessage =
  { readonly type: 'plain'; readonly text: string } | { readonly type: 'gzip'; readonly base64: string };

/** Shorter messages are not compressed, because the time would outweigh the saving. */
const MIN_COMPRESSED_CHARS = 4_096;
/** Messages of this system are smaller when unpacked; a larger one is rejected. */
const MAX_UNPACKED_BYTES = 32 * 1_048_576;

/**
 * Packs a message.
 *
 * @param message - plain data
 * @returns the message as it is sent
 */
export const packMessage = (message: object): PackedMessage => {
  const text = JSON.stringify(message);
  return text.length < MIN_COMPRESSED_CHARS
    ? { type: 'plain', text }
    : // Messages keep their order only if each is packed before the next one.
      // eslint-disable-next-line n/no-sync
      { type: 'gzip', base64: gzipSync(text, { level: 1 }).toString('base64') };
};

/**
 * Unpacks a message.
 *
 * @param packed - message as it was sent
 * @returns the plain data
 * @throws Error when it is invalid or too large
 */
export const unpackMessage = (packed: PackedMessage): unknown =>
  JSON.parse(
    packed.type === 'plain'
      ? packed.text
      : // eslint-disable-next-line n/no-sync
        gunzipSync(Buffer.from(packed.base64, 'base64'), { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8'),
  );
