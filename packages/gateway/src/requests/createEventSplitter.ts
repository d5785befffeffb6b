/** The whole events of a stream so far. */
export interface EventParts {
  /** Bytes of whole events, unchanged; undefined when there are none yet. */
  readonly whole: Buffer | undefined;
  /** Id of the first event among them. */
  readonly firstEventId: string | undefined;
  /** Id of the last event among them. */
  readonly lastEventId: string | undefined;
}

/** Splits the bytes of an event stream after whole events. */
export interface EventSplitter {
  push(chunk: Buffer): EventParts;
  /** Bytes after the last whole event. */
  rest(): Buffer;
}

const NOTHING: EventParts = { whole: undefined, firstEventId: undefined, lastEventId: undefined };

/** Position after the last blank line, or -1. */
const findLastEnd = (bytes: Buffer): number => {
  const lineFeeds = bytes.lastIndexOf('\n\n');
  const pairs = bytes.lastIndexOf('\r\n\r\n');
  return Math.max(lineFeeds === -1 ? -1 : lineFeeds + 2, pairs === -1 ? -1 : pairs + 4);
};

const readIds = (whole: Buffer): Pick<EventParts, 'firstEventId' | 'lastEventId'> => {
  const ids = [...whole.toString('latin1').matchAll(/^id:(.*)$/gm)];
  return { firstEventId: ids[0]?.[1]?.trim(), lastEventId: ids.at(-1)?.[1]?.trim() };
};

/**
 * Creates a splitter of an event stream. An event passes only when it is whole, so that a stream that breaks inside an
 * event can go on at another server.
 *
 * @returns the splitter
 */
export default function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push: (chunk) => {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const end = findLastEnd(bytes);
      if (end === -1) {
        pending = bytes;
        return NOTHING;
      }
      const whole = bytes.subarray(0, end);
      pending = bytes.subarray(end);
      return { whole, ...readIds(whole) };
    },
    rest: () => pending,
  };
}
