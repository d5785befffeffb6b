import net from 'node:net';
import { z } from 'zod';
import type { Clock, Timer } from '@bergamotcove/clock';
import { createHttpClient } from '@bergamotcove/transport';
import serveJson from '../_lib/serveJson.js';
import type { ListenOptions, Standin } from '../types.js';

const backendSchema = z.object({ id: z.string(), address: z.string(), port: z.int() });

/** An entry host behind the balancer. */
export type BalancerBackend = z.output<typeof backendSchema>;

/** Options of {@link startBalancer}. */
export interface BalancerOptions {
  readonly clock: Clock;
  readonly backends: readonly BalancerBackend[];
  /** Interval of the readiness checks. */
  readonly checkMs: number;
  /** Time for which a host that is not ready continues to get connections. */
  readonly ignoreDrainMs: number;
}

/** A running stand-in of the balancer. */
export interface BalancerStandin extends Standin {
  /** Port of the control endpoint. */
  readonly controlPort: number;
  setBackends(backends: readonly BalancerBackend[]): void;
}

const STATUS_OK = 200;
const CHECK_TIMEOUT_MS = 500;

/** Checks the readiness of the hosts at intervals and records since when each one is not ready. */
const createReadinessChecker = (options: BalancerOptions, listBackends: () => readonly BalancerBackend[]) => {
  const unreadySinceMs = new Map<string, number>();
  const http = createHttpClient();
  let timer: Timer | undefined;
  let closed = false;
  const check = async (backend: BalancerBackend): Promise<void> => {
    const signal = AbortSignal.timeout(CHECK_TIMEOUT_MS);
    const request = { method: 'GET', path: '/readyz', signal } as const;
    const status = await http.send(backend, request).then(
      (response) => response.status,
      () => 0,
    );
    if (status === STATUS_OK) {
      unreadySinceMs.delete(backend.id);
    } else if (!unreadySinceMs.has(backend.id)) {
      unreadySinceMs.set(backend.id, options.clock.monotonicMs());
    }
  };
  const checkAll = async (): Promise<void> => {
    await Promise.all(listBackends().map(check));
    if (!closed) {
      timer = options.clock.schedule(options.checkMs, () => {
        checkAll().catch(() => undefined);
      });
    }
  };
  return {
    start: checkAll,
    isUsable: (backend: BalancerBackend): boolean => {
      const sinceMs = unreadySinceMs.get(backend.id);
      return sinceMs === undefined || options.clock.monotonicMs() - sinceMs < options.ignoreDrainMs;
    },
    close: () => {
      closed = true;
      timer?.close();
      http.close();
    },
  };
};

/** Forwards the connection of a caller to the first candidate that accepts a connection. */
const forward = (caller: net.Socket, candidates: readonly BalancerBackend[], onForward: (id: string) => void): void => {
  const [backend, ...rest] = candidates;
  if (backend === undefined) {
    caller.destroy();
    return;
  }
  const socket = net.connect(backend.port, backend.address);
  const tryNext = (): void => forward(caller, rest, onForward);
  socket.once('error', tryNext);
  socket.once('connect', () => {
    socket.removeListener('error', tryNext);
    socket.on('error', () => caller.destroy());
    caller.on('error', () => socket.destroy());
    caller.on('close', () => socket.destroy());
    socket.on('close', () => caller.destroy());
    onForward(backend.id);
    caller.pipe(socket).pipe(caller);
  });
};

/**
 * Starts a stand-in of the platform's balancer, which distributes TCP connections round-robin over the entry hosts. It
 * detects a host that is not ready only at the next readiness check and continues to use it for `ignoreDrainMs` after
 * that. On the control port, `POST /control/hosts` replaces the hosts and `GET /control/counters` returns the number of
 * connections by host.
 *
 * @param listen - address and port for callers
 * @param options - clock, hosts, check interval, time for which a host that is not ready is still used
 * @returns the running stand-in
 */
export default async function startBalancer(listen: ListenOptions, options: BalancerOptions): Promise<BalancerStandin> {
  let { backends } = options;
  let nextIndex = 0;
  const counts = new Map<string, number>();
  const sockets = new Set<net.Socket>();
  const readiness = createReadinessChecker(options, () => backends);
  const server = net.createServer((caller) => {
    sockets.add(caller);
    caller.on('close', () => sockets.delete(caller));
    caller.on('error', () => caller.destroy());
    const usable = backends.filter(readiness.isUsable);
    const offset = usable.length === 0 ? 0 : nextIndex % usable.length;
    nextIndex += 1;
    forward(caller, [...usable.slice(offset), ...usable.slice(0, offset)], (id) =>
      counts.set(id, (counts.get(id) ?? 0) + 1),
    );
  });
  const setBackends = (replacement: readonly BalancerBackend[]): void => {
    backends = replacement;
  };
  await new Promise<void>((resolve) => {
    server.listen(listen.port, listen.address, resolve);
  });
  const control = await serveJson(
    {
      'GET /control/counters': () => Object.fromEntries(counts),
      'POST /control/hosts': (body) => {
        setBackends(z.array(backendSchema).parse(body));
        return {};
      },
    },
    { address: listen.address, port: 0 },
  );
  await readiness.start();
  return {
    port: (server.address() as net.AddressInfo).port,
    controlPort: control.port,
    setBackends,
    close: async () => {
      readiness.close();
      sockets.forEach((socket) => socket.destroy());
      server.close();
      await control.close();
    },
  };
}
