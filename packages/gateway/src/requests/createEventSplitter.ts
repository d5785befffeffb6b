import { createByteCollector } from '@bergamotcove/transport';

/** An event, which ends with a blank line. */
export interface StreamEvent {
  /** Undefined when it has none. */
  readonly id: string | undefined;
  /** Offset of its first byte in its batch. */
  readonly startBytes: number;
}

/** Complete events that a chunk has completed. */
export interface EventBatch {
  /** Bytes of the complete events, unchanged but for a byte order mark; undefined when there are none. */
  readonly bytes: Buffer | undefined;
  /** The events in order; comments and blocks of other fields are none. */
  readonly events: readonly StreamEvent[];
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

const NO_EVENTS: EventBatch = { bytes: undefined, events: [] };

/** Size limit of an event; typical events have a few hundred bytes. */
export const MAX_EVENT_BYTES = 262_144;
/** Bytes of an event delimiter that can be at the end of the previous chunk: all but one of `\r\n\r\n`. */
const MAX_DELIMITER_PREFIX_BYTES = 3;

/** Two consecutive line ends: CR LF, LF or CR. A CR at the end of the text is left open unless it follows a CR: an LF may follow. */
const BLANK_LINE = /(?:\r\n|\n|\r(?=[^\n])){2}|\r\r/g;
const BYTE_ORDER_MARK = '\xef\xbb\xbf';

/** Offsets after the blank lines. */
const findEventEnds = (text: string): readonly number[] =>
  [...text.matchAll(BLANK_LINE)].map(({ index, 0: { length } }) => index + length);

const readEvents = (bytes: Buffer): readonly StreamEvent[] => {
  const text = bytes.toString('latin1');
  return [0, ...findEventEnds(text)].flatMap((startBytes, nth, starts) => {
    const block = text.slice(startBytes, starts[nth + 1]);
    const id = [...block.matchAll(/^(?:\xef\xbb\xbf)?id:(.*)$/gm)].at(-1)?.[1]?.trim();
    return /^(?!retry:|event:)[^:\r\n]/m.test(block) ? [{ id: id || undefined, startBytes }] : [];
  });
};

/**
 * Creates a splitter of an event stream. It holds an event back until it is complete, so that a stream that breaks
 * inside an event can be resumed at another server.
 *
 * @param options - `isContinuation` drops a byte order mark, which is valid only at the start of a stream
 * @returns the splitter
 */
export default function createEventSplitter({ isContinuation = false } = {}): EventSplitter {
  const pending = createByteCollector();
  let isStart = isContinuation;
  /** Last pending bytes, which can hold the start of a delimiter. */
  const readTail = (): Buffer => pending.read().subarray(-MAX_DELIMITER_PREFIX_BYTES);

  return {
    get isFragmented() {
      return pending.isFragmented;
    },
    push: (chunk) => {
      const tail = readTail();
      const text = (tail.length === 0 ? chunk : Buffer.concat([tail, chunk])).toString('latin1');
      const end = (findEventEnds(text).at(-1) ?? 0) - tail.length;
      if (end <= 0) {
        pending.push(chunk);
        return pending.sizeBytes > MAX_EVENT_BYTES ? undefined : NO_EVENTS;
      }
      const whole = Buffer.concat([pending.read(), chunk.subarray(0, end)]);
      const hasMark = isStart && whole.toString('latin1', 0, BYTE_ORDER_MARK.length) === BYTE_ORDER_MARK;
      const bytes = hasMark ? whole.subarray(BYTE_ORDER_MARK.length) : whole;
      isStart = false;
      pending.clear();
      if (end < chunk.length) {
        pending.push(chunk.subarray(end));
      }
      return { bytes, events: readEvents(bytes) };
    },
    rest: () => pending.read(),
  };
}
