/** A listener that can give its port back. */
export interface PortListener {
  readonly port: number;
  close(): Promise<void>;
}

/** How both sides of a port are taken. */
export interface PortSteps<Listener extends PortListener> {
  /** Port of the settings; 0 takes a free one. */
  readonly port: number;
  readonly listen: () => Promise<Listener>;
  /** Binds the datagram socket to the port of the listener. */
  readonly bind: (port: number) => Promise<void>;
}

/** The system gives out a port that is free for TCP; one that another process uses for UDP is rare. */
const MAX_TRIES = 5;

const isPortTaken = (cause: unknown): boolean =>
  cause instanceof Error && 'code' in cause && cause.code === 'EADDRINUSE';

/**
 * Takes one port for peer calls over TCP and datagrams over UDP. A port that the system chose and that is taken for UDP is
 * given back, and another one is tried.
 *
 * @param steps - port of the settings and how both sides are taken
 * @returns the listener
 * @throws Error when the port of the settings is taken, or when no free one is found
 * @example
 * const peers = await startOnFreePort({ port: 0, listen, bind });
 */
export default function startOnFreePort<Listener extends PortListener>(steps: PortSteps<Listener>): Promise<Listener> {
  const attempt = async (tries: number): Promise<Listener> => {
    const listener = await steps.listen();
    try {
      await steps.bind(listener.port);
      return listener;
    } catch (cause) {
      await listener.close();
      if (steps.port !== 0 || tries === MAX_TRIES || !isPortTaken(cause)) {
        throw cause;
      }
      return attempt(tries + 1);
    }
  };
  return attempt(1);
}
