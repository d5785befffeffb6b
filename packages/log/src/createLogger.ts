import debug from 'debug';
import { LOG_EVENTS, type LogEventName } from './events.js';

/** Facts of one occurrence of an event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes catalogued events. */
export interface Logger {
  event(name: LogEventName, fields?: LogFields): void;
}

const LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/**
 * Creates a logger that writes one JSON object per event to standard error. The namespaces are
 * `bergamot:<scope>:<level>`; the `DEBUG` variable selects among them.
 *
 * @param scope - part of the system, for instance `entry`
 * @param base - fields of every event, for instance the host id
 * @returns the logger
 * @example
 * const logger = createLogger('entry', { hostId: 'a1' });
 * logger.event('hostStarted', { port: 8080 });
 */
export default function createLogger(scope: string, base: LogFields = {}): Logger {
  const writers = new Map(LEVELS.map((level) => [level, debug(`bergamot:${scope}:${level}`)]));
  return {
    event: (name, fields = {}) => {
      const spec = LOG_EVENTS[name];
      const write = writers.get(spec.level);
      if (write?.enabled === true) {
        write('%s', JSON.stringify({ event: spec.id, name, level: spec.level, ...base, ...fields }));
      }
    },
  };
}
