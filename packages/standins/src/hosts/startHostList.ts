import { z } from 'zod';
import serveJson from '../_lib/serveJson.js';
import type { ListenOptions, Standin } from '../types.js';

const hostSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'server']),
  address: z.string(),
  port: z.number(),
  peerPort: z.number().optional(),
  pool: z.string().optional(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']).default('live'),
});

/** One host of the list. */
export type StandinHost = z.input<typeof hostSchema>;

/**
 * Starts a stand-in of the platform's host list. `POST /control/hosts` replaces the list.
 *
 * @param listen - address and port
 * @param options - initial hosts
 * @returns the running stand-in
 */
export default async function startHostList(
  listen: ListenOptions,
  options: { readonly hosts: readonly StandinHost[] },
): Promise<Standin> {
  let hosts = options.hosts.map((host) => hostSchema.parse(host));
  let revision = 1;
  const server = await serveJson(
    {
      'GET /v1/hosts': () => ({ revision, hosts }),
      'POST /control/hosts': (body) => {
        hosts = z.array(hostSchema).parse(body);
        revision += 1;
        return { revision };
      },
    },
    listen,
  );
  return { port: server.port, close: server.close };
}
