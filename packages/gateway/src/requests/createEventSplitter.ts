/** The whole events of a stream so far. */
export interface EventBatch {
  /** Bytes of whole events, unchanged; undefined when there are none yet. */
  readonly bytes: Buffer | undefined;
  /** Id of the first event among them. */
  readonly firstEventId: string | undefined;
  /** Id of the last event among them. */
  readonly lastEventId: string | undefined;
}

/** Splits the bytes of an event stream after whole events. */
export interface EventSplitter {
  /** Takes the next bytes; undefined when an event is too large, after which nothing more is taken. */
  push(chunk: Buffer): EventBatch | undefined;
  /** Bytes after the last whole event. */
  rest(): Buffer;
}

const NO_EVENTS: EventBatch = { bytes: undefined, firstEventId: undefined, lastEventId: undefined };

/** Largest event; usual ones have some hundred bytes. */
export const MAX_EVENT_BYTES = 262_144;
/** A blank line may begin so many bytes before those that end it. */
const MAX_DELIMITER_PREFIX_BYTES = 3;

/** Position after the last blank line, or -1. */
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
 * Creates a splitter of an event stream. An event passes only when it is whole, so that a stream that breaks inside an
 * event can go on at another server.
 *
 * @returns the splitter
 */
export default function createEventSplitter(): EventSplitter {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  /** Last bytes before the next ones. */
  let tail: Buffer = Buffer.alloc(0);

  const keep = (bytes: Buffer): void => {
    pending.push(bytes);
    pendingBytes += bytes.length;
    tail = Buffer.concat([tail, bytes.subarray(-MAX_DELIMITER_PREFIX_BYTES)]).subarray(-MAX_DELIMITER_PREFIX_BYTES);
  };

  const clear = (): void => {
    pending = [];
    pendingBytes = 0;
    tail = Buffer.alloc(0);
  };

  return {
    push: (chunk) => {
      const end = findLastEventEnd(tail.length === 0 ? chunk : Buffer.concat([tail, chunk])) - tail.length;
      if (end <= 0) {
        keep(chunk);
        return pendingBytes > MAX_EVENT_BYTES ? undefined : NO_EVENTS;
      }
      const bytes = Buffer.concat([...pending, chunk.subarray(0, end)]);
      clear();
      keep(chunk.subarray(end));
      return { bytes, ...readIds(bytes) };
    },
    rest: () => Buffer.concat(pending),
  };
}
