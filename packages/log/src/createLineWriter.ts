import { destination as createDestination, pino, type DestinationStream } from 'pino';
import type { LogLevel } from './events.js';

/** Writes log lines without blocking on their reader. */
export interface LineWriter {
  write(level: LogLevel, line: Readonly<Record<string, unknown>>): void;
}

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
  /** Stream that receives the lines; standard output by default. */
  readonly destination?: DestinationStream;
  /** Maximum number of lines written in one second; further lines are dropped and counted. */
  readonly maxLinesPerSecond?: number;
  /** Wall time in milliseconds. */
  readonly now?: () => number;
}

/** A host under full load writes about 150 lines a second; the limit applies to bursts of one event. */
const MAX_LINES_PER_SECOND = 400;
/** Bytes buffered while the reader of standard output does not read; further lines are dropped. */
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
      // The stream is not open yet, or its reader has closed it.
    }
  });
  return stream;
};

/**
 * Creates a writer of structured log lines. Lines beyond the limit per second are dropped, and the first write
 * in a later second is preceded by a line that gives their number.
 *
 * @param options - destination, limit and time source
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
