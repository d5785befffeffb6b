import debug from 'debug';
import createLineWriter, { type LineWriter } from './createLineWriter.js';
import { LOG_EVENTS, type LogEventName } from './events.js';

/** Value of a log field: an id, a size, a reason, or a list of these. No objects, because payloads are objects. */
export type LogValue = string | number | boolean | null | undefined | readonly (string | number | boolean)[];

/** Field names that are not allowed, because they would hold payloads of requests or secrets. */
type PayloadName =
  | 'answer'
  | 'body'
  | 'document'
  | 'input'
  | 'output'
  | 'payload'
  | 'prompt'
  | 'result'
  | 'secret'
  | 'text'
  | 'tokens'
  | 'value';

/** Fields of one occurrence of an event. */
export type LogFields = Readonly<Record<string, LogValue>> & Partial<Readonly<Record<PayloadName, never>>>;

// Longer texts quote what a caller or a server sent, for instance in the message of a parser.
const MAX_TEXT_LENGTH = 300;

const shortenTexts = (fields: LogFields): Readonly<Record<string, unknown>> =>
  Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'string' && value.length > MAX_TEXT_LENGTH ? `${value.slice(0, MAX_TEXT_LENGTH)}…` : value,
    ]),
  );

/** Writes catalogued events. */
export interface Logger {
  event(name: LogEventName, fields?: LogFields): void;
}

const LEVELS = ['error', 'warn', 'info', 'debug'] as const;

let sharedWriter: LineWriter | undefined;

/** Returns the writer of standard output that all loggers of a process share. */
const getSharedWriter = (): LineWriter => {
  sharedWriter ??= createLineWriter();
  return sharedWriter;
};

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Receives the lines; standard output by default. */
  readonly writer?: LineWriter;
}

/**
 * Creates a logger that writes one JSON object per event to standard output. The namespaces are
 * `bergamot:<scope>:<level>`; the `DEBUG` variable selects among them.
 *
 * @param scope - part of the system, for instance `entry`
 * @param base - fields of every event, for instance the host id
 * @param options - writer that receives the lines
 * @returns the logger
 * @example
 * const logger = createLogger('entry', { hostId: 'a1' });
 * logger.event('hostStarted', { port: 8080 });
 */
export default function createLogger(scope: string, base: LogFields = {}, options: LoggerOptions = {}): Logger {
  const selectors = new Map(LEVELS.map((level) => [level, debug(`bergamot:${scope}:${level}`)]));
  return {
    event: (name, fields = {}) => {
      const spec = LOG_EVENTS[name];
      if (selectors.get(spec.level)?.enabled === true) {
        const writer = options.writer ?? getSharedWriter();
        writer.write(spec.level, { event: spec.id, name, ...base, ...shortenTexts(fields) });
      }
    },
  };
}
