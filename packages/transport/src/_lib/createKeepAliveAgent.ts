import http from 'node:http';
import type { Socket } from 'node:net';
import createSmallReadConnection from './createSmallReadConnection.js';

/** Options of {@link createKeepAliveAgent}. */
export interface KeepAliveAgentOptions {
  /** Largest number of connections to one target. */
  readonly maxSockets: number;
  /** Time after which an idle connection is closed, unless the server announces a shorter one; unlimited by default. */
  readonly idleLimitMs?: number;
}

/** An idle connection is closed this long before the server would close it, so that no request is sent into the close. */
const CLOSE_MARGIN_MS = 500;
const MS_PER_SECOND = 1_000;

/** Socket of an agent, with Node's internal reference to the response that was just read. */
interface AgentSocket extends Socket {
  readonly _httpMessage?: { readonly res?: http.IncomingMessage } | null;
}

const readServerIdleTimeoutMs = (socket: AgentSocket): number => {
  const header = String(socket._httpMessage?.res?.headers['keep-alive'] ?? '');
  const hint = /timeout=(\d+)/.exec(header)?.[1];
  return hint === undefined ? Infinity : Number(hint) * MS_PER_SECOND - CLOSE_MARGIN_MS;
};

/** Ends an idle connection at any byte: no request waits for an answer there. */
function endAtData(this: Socket): void {
  this.destroy();
}

/** Agent that closes idle connections before the server does, and those on which a server sends unasked. */
class KeepAliveAgent extends http.Agent {
  constructor(
    maxSockets: number,
    private readonly idleLimitMs: number,
  ) {
    super({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  override createConnection = createSmallReadConnection;

  /** Called by the base class after a response was read; false closes the connection. */
  override keepSocketAlive(socket: AgentSocket): boolean {
    const limitMs = Math.min(this.idleLimitMs, readServerIdleTimeoutMs(socket));
    if (limitMs <= 0) {
      return false;
    }
    socket.setKeepAlive(true, MS_PER_SECOND);
    socket.unref();
    socket.setTimeout(Number.isFinite(limitMs) ? limitMs : 0);
    socket.on('data', endAtData);
    return true;
  }

  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    socket.setTimeout(0);
    socket.off('data', endAtData);
    super.reuseSocket(socket, request);
  }
}

/**
 * Creates an agent that keeps connections alive for later requests.
 *
 * @param options - limits
 * @returns the agent; destroy it to close its connections
 */
export default function createKeepAliveAgent(options: KeepAliveAgentOptions): http.Agent {
  return new KeepAliveAgent(options.maxSockets, options.idleLimitMs ?? Infinity);
}
