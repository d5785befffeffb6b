import type { Clock } from '@bergamotcove/clock';
import type { HttpServer } from '@bergamotcove/transport';
import type { ListenOptions, Standin } from '../types.js';
import serveJson, { type JsonRoute } from './serveJson.js';
import createServerFaults, { serverFaultsSchema, type ServerFaultInput, type ServerFaults } from './serverFaults.js';

/** A running backend server with fault injection. */
export interface FaultyServer extends Standin {
  setFaults(faults: readonly ServerFaultInput[]): void;
  addFault(fault: ServerFaultInput): void;
  /** Drops every connection and refuses new ones for `downMs`; an infinite time is permanent. */
  crash(downMs: number): void;
  /** Number of crashes so far. */
  crashes(): number;
}

/** Fault controls for the routes of a backend server. */
export interface ServerControls {
  readonly faults: ServerFaults;
  crash(downMs: number): void;
}

/** Options of {@link startFaultyServer}. */
export interface FaultyServerOptions {
  readonly clock: Clock;
  readonly createRoutes: (controls: ServerControls) => Readonly<Record<string, JsonRoute>>;
  /** Called when the server crashes; clears what a real process would lose from memory. */
  readonly onCrash?: () => void;
}

const createControlRoutes = (faults: ServerFaults, crash: (downMs: number) => void): Record<string, JsonRoute> => ({
  'GET /control/faults': () => ({ faults: faults.list() }),
  'POST /control/faults': (body) => {
    faults.set(serverFaultsSchema.parse(body).faults);
    return {};
  },
  'POST /control/crash': (body) => {
    crash((body as { readonly downMs?: number }).downMs ?? Infinity);
    return undefined;
  },
});

/**
 * Starts an HTTP server with fault injection that can crash and restart on the same port. While it is down it refuses
 * all connections, those to the control endpoint included, as a stopped process does.
 *
 * @param listen - address and port
 * @param options - clock, routes and crash handler
 * @returns the running server
 */
export default async function startFaultyServer(
  listen: ListenOptions,
  options: FaultyServerOptions,
): Promise<FaultyServer> {
  const faults = createServerFaults();
  let server: HttpServer | undefined;
  let { port } = listen;
  let closed = false;
  let crashes = 0;
  let start: () => Promise<void> = () => Promise.resolve();

  const crash = (downMs: number): void => {
    const crashed = server;
    crashes += crashed === undefined ? 0 : 1;
    server = undefined;
    crashed?.close().catch(() => undefined);
    crashed?.abort();
    options.onCrash?.();
    if (crashed !== undefined && Number.isFinite(downMs)) {
      options.clock.schedule(downMs, () => {
        start().catch(() => undefined);
      });
    }
  };
  const routes = { ...options.createRoutes({ faults, crash }), ...createControlRoutes(faults, crash) };
  start = async () => {
    if (!closed && server === undefined) {
      server = await serveJson(routes, { address: listen.address, port });
      ({ port } = server);
    }
  };
  await start();
  return {
    port,
    crash,
    crashes: () => crashes,
    setFaults: (inputs) => faults.set(serverFaultsSchema.parse({ faults: inputs }).faults),
    addFault: (input) => serverFaultsSchema.parse({ faults: [input] }).faults.forEach(faults.add),
    close: async () => {
      closed = true;
      server?.abort();
      await server?.close();
    },
  };
}
