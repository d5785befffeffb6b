import { createByteCollector } from '@bergamotcove/transport';

/** Complete events that a chunk has completed. */
export interface EventBatch {
  /** Bytes of the complete events, unchanged; undefined when there are none. */
  readonly bytes: Buffer | undefined;
  /** First event id among them. */
  readonly firstEventId: string | undefined;
  /** Last event id among them. */
  readonly lastEventId: string | undefined;
}

/** Splits the bytes of an event stream at the ends of events. */
export interface EventSplitter {
  /** Whether the event that is not complete yet came in far too many chunks. */
  readonly isFragmented: boolean;
  /** Adds a chunk. Undefined when an event exceeds {@link MAX_EVENT_BYTES}; do not push again after that. */
  push(chunk: Buffer): EventBatch | undefined;
  /** Bytes after the last complete event. */
  rest(): Buffer;
}

const NO_EVENTS: EventBatch = { bytes: undefined, firstEventId: undefined, lastEventId: undefined };

/** Size limit of an event; typical events have a few hundred bytes. */
export const MAX_EVENT_BYTES = 262_144;
/** Bytes of an event delimiter that can be at the end of the previous chunk: all but one of `\r\n\r\n`. */
const MAX_DELIMITER_PREFIX_BYTES = 3;

/** Offset after the last blank line, or -1. */
const findLastEventEnd = (bytes: Buffer): number => {
  const lineFeeds = bytes.lastIndexOf('\n\n');
  const pairs = bytes.lastIndexOf('\r\n\r\n');
  return Math.max(lineFeeds === -1 ? -1 : lineFeeds + 2, pairs === -1 ? -1 : pairs + 4);
};

const readIds = (bytes: Buffer): Pick<EventBatch, 'firstEventId' | 'lastEventId'> => {
  const ids = [...bytes.toString('latin1').matchAll(/^id:(.*)$/gm)];
  return { firstEventId: ids[0]?.[1]?.trim(), lastEventId: ids.at(-1)?.[1]?.trim() };
};

/**
 * Creates a splitter of an event stream. It holds an event back until it is complete, so that a stream that breaks
 * inside an event can be resumed at another server.
 *
 * @returns the splitter
 */
export default function createEventSplitter(): EventSplitter {
  const pending = createByteCollector();
  /** Last pending bytes, which can hold the start of a delimiter. */
  const readTail = (): Buffer => pending.read().subarray(-MAX_DELIMITER_PREFIX_BYTES);

  return {
    get isFragmented() {
      return pending.isFragmented;
    },
    push: (chunk) => {
      const tail = readTail();
      const end = findLastEventEnd(tail.length === 0 ? chunk : Buffer.concat([tail, chunk])) - tail.length;
      if (end <= 0) {
        pending.push(chunk);
        return pending.sizeBytes > MAX_EVENT_BYTES ? undefined : NO_EVENTS;
      }
      const bytes = Buffer.concat([pending.read(), chunk.subarray(0, end)]);
      pending.clear();
      if (end < chunk.length) {
        pending.push(chunk.subarray(end));
      }
      return { bytes, ...readIds(bytes) };
    },
    rest: () => pending.read(),
  };
}
