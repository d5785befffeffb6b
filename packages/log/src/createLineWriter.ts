import { destination as createDestination, pino, type DestinationStream } from 'pino';
import type { LogLevel } from './events.js';

/** Writes lines without ever waiting for their reader. */
export interface LineWriter {
  write(level: LogLevel, line: Readonly<Record<string, unknown>>): void;
}

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
  /** Where lines go; standard output by default. */
  readonly destination?: DestinationStream;
  /** Lines that are written in one second; the others are counted. */
  readonly maxLinesPerSecond?: number;
  /** Wall time in milliseconds. */
  readonly now?: () => number;
}

/** A host under full load writes about 150 lines a second; this bounds a storm of one kind of event. */
const MAX_LINES_PER_SECOND = 400;
/** Bytes that wait for a reader that does not read; further lines are dropped. */
const MAX_BUFFER_BYTES = 1_048_576;
const SECOND_MS = 1_000;
/** Id of the event `logLinesDropped` in the catalogue. */
const DROPPED_EVENT_ID = 1007;

const openStandardOutput = (): DestinationStream => {
  const stream = createDestination({ fd: 1, sync: false, maxLength: MAX_BUFFER_BYTES });
  stream.on('error', () => undefined);
  process.on('exit', () => {
    try {
      stream.flushSync();
    } catch {
      // The stream was not open yet or its reader has gone.
    }
  });
  return stream;
};

/**
 * Creates a writer of structured log lines. The lines of a second beyond the limit are dropped, and the next second
 * begins with a line that tells their number.
 *
 * @param options - destination and limit
 * @returns the writer
 * @example
 * createLineWriter().write('info', { event: 1001, name: 'hostStarted' });
 */
export default function createLineWriter(options: LineWriterOptions = {}): LineWriter {
  const { maxLinesPerSecond = MAX_LINES_PER_SECOND, now = Date.now } = options;
  const logger = pino(
    { base: null, level: 'debug', formatters: { level: (level) => ({ level }) } },
    options.destination ?? openStandardOutput(),
  );
  let second = 0;
  let written = 0;
  let dropped = 0;
  return {
    write: (level, line) => {
      const current = Math.floor(now() / SECOND_MS);
      if (current !== second) {
        if (dropped > 0) {
          logger.warn({ event: DROPPED_EVENT_ID, name: 'logLinesDropped', lines: dropped });
        }
        second = current;
        written = 0;
        dropped = 0;
      }
      if (written >= maxLinesPerSecond) {
        dropped += 1;
        return;
      }
      written += 1;
      logger[level](line);
    },
  };
}
