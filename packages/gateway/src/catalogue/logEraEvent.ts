import type { EraEvent } from '@bergamotcove/backends';
import { exhaustive } from '@bergamotcove/errors';
import type { Logger } from '@bergamotcove/log';

const MAX_LOGGED_CHARS = 64;

/**
 * Logs a change of the era of the store, or why an era is ignored.
 *
 * @param event - what happened
 * @param logger - logger of the host
 */
export default function logEraEvent(event: EraEvent, logger: Logger): void {
  switch (event.type) {
    case 'advanced':
      logger.event('storeEraAdvanced', { era: event.era, before: event.before });
      break;
    case 'ignored':
      logger.event('storeEraIgnored', {
        problem: event.problem,
        header: String(event.text).slice(0, MAX_LOGGED_CHARS),
      });
      break;
    default:
      exhaustive(event);
  }
}
