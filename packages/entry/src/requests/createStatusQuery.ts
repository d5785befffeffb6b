import type { RequestPlan } from '@bergamotcove/decide';
import { queryStatus } from '@bergamotcove/backends';
import type { HttpClient } from '@bergamotcove/transport';
import type { ServerDirectory } from '../servers/createServerDirectory.js';

/** Asks the servers of a request's `once` stage whether they ran the call under a key. */
export type StatusQuery = (plan: RequestPlan, idempotencyKey: string) => Promise<boolean | undefined>;

const STATUS_QUERY_TIMEOUT_MS = 300;

/**
 * Creates the status query. A call has run if any server of the pool reports it, and has not run only if every server
 * denies it, because the claim does not record which server was called.
 *
 * @param http - HTTP client
 * @param directory - backend servers
 * @returns the query; it resolves to undefined when the answers do not decide it
 */
export default function createStatusQuery(http: HttpClient, directory: ServerDirectory): StatusQuery {
  return async (plan, key) => {
    const stage = plan.stages.find(({ effect }) => effect === 'once');
    const servers = stage === undefined ? [] : directory.listPool(stage.pool);
    const options = { key, organisation: plan.organisation, timeoutMs: STATUS_QUERY_TIMEOUT_MS };
    const answers = await Promise.all(servers.map((server) => queryStatus(http, server, options)));
    if (answers.includes(true)) {
      return true;
    }
    return answers.length > 0 && answers.every((answer) => answer === false) ? false : undefined;
  };
}
