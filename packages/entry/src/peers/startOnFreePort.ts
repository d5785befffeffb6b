/** A listener that releases its port when closed. */
export interface PortListener {
  readonly port: number;
  close(): Promise<void>;
}

/** Options of {@link startOnFreePort}. */
export interface PortOptions<Listener extends PortListener> {
  /** Port of the settings; 0 selects a free one. */
  readonly port: number;
  /** Listens on TCP. */
  readonly listen: () => Promise<Listener>;
  /** Binds the UDP socket to the port of the listener. */
  readonly bind: (port: number) => Promise<void>;
}

/** The system selects a port that is free for TCP; it is rare that another process uses the same port for UDP. */
const MAX_TRIES = 5;

const isPortTaken = (cause: unknown): boolean =>
  cause instanceof Error && 'code' in cause && cause.code === 'EADDRINUSE';

/**
 * Binds one port for peer calls over TCP and datagrams over UDP. If the system selected a port that is in use for UDP,
 * the port is released and another one is tried.
 *
 * @param options - port of the settings, and functions that bind TCP and UDP
 * @returns the listener
 * @throws Error when the port of the settings is in use, or when no free port is found
 * @example
 * const peers = await startOnFreePort({ port: 0, listen, bind });
 */
export default function startOnFreePort<Listener extends PortListener>(
  options: PortOptions<Listener>,
): Promise<Listener> {
  const attempt = async (tries: number): Promise<Listener> => {
    const listener = await options.listen();
    try {
      await options.bind(listener.port);
      return listener;
    } catch (cause) {
      await listener.close();
      if (options.port !== 0 || tries === MAX_TRIES || !isPortTaken(cause)) {
        throw cause;
      }
      return attempt(tries + 1);
    }
  };
  return attempt(1);
}
