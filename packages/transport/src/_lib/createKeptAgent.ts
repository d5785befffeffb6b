import http from 'node:http';
import type { Socket } from 'node:net';

/** Options of {@link createKeptAgent}. */
export interface KeptAgentOptions {
  /** Connections to one target. */
  readonly maxSockets: number;
  /** Time after which an idle connection is closed; the server may ask for less. Without it only the server decides. */
  readonly idleLimitMs?: number;
}

/** An idle connection is closed this long before its server would do it, so that no request crosses the close. */
const CLOSE_EARLY_MS = 500;
const MS_PER_SECOND = 1_000;

/** The part of a socket in an agent that holds the response that was just read. */
interface UsedSocket extends Socket {
  readonly _httpMessage?: { readonly res?: http.IncomingMessage } | null;
}

const readServerLimitMs = (socket: UsedSocket): number => {
  const header = String(socket._httpMessage?.res?.headers['keep-alive'] ?? '');
  const hint = /timeout=(\d+)/.exec(header)?.[1];
  return hint === undefined ? Infinity : Number(hint) * MS_PER_SECOND - CLOSE_EARLY_MS;
};

/** Agent that closes idle connections before their servers do. */
class KeptAgent extends http.Agent {
  constructor(
    maxSockets: number,
    private readonly idleLimitMs: number,
  ) {
    super({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  /** Called by the base class when a response was read; false closes the connection. */
  override keepSocketAlive(socket: UsedSocket): boolean {
    const limitMs = Math.min(this.idleLimitMs, readServerLimitMs(socket));
    if (limitMs <= 0) {
      return false;
    }
    socket.setKeepAlive(true, MS_PER_SECOND);
    socket.unref();
    socket.setTimeout(Number.isFinite(limitMs) ? limitMs : 0);
    return true;
  }

  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

/**
 * Creates an agent that keeps connections open for later requests.
 *
 * @param options - limits
 * @returns the agent; destroy it to close its connections
 */
export default function createKeptAgent(options: KeptAgentOptions): http.Agent {
  return new KeptAgent(options.maxSockets, options.idleLimitMs ?? Infinity);
}
