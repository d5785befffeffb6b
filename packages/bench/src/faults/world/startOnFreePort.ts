const MAX_TRIES = 5;

const isTaken = (cause: unknown): boolean =>
  cause instanceof Error &&
  ((cause as NodeJS.ErrnoException).code === 'EADDRINUSE' || /EADDRINUSE/.test(cause.message));

/**
 * Starts a server on a free port. Worlds in other processes choose from the same ports and may take the port between
 * the check and the start; another port is tried then, up to five in all.
 *
 * @param findPort - finds a free port
 * @param start - starts on the port
 * @returns the result of `start`
 * @throws the last error of `start`, at once when it is not EADDRINUSE
 */
export default async function startOnFreePort<Started>(
  findPort: () => Promise<number>,
  start: (port: number) => Promise<Started>,
): Promise<Started> {
  for (let tries = 1; ; tries += 1) {
    const port = await findPort();
    try {
      return await start(port);
    } catch (cause) {
      if (!isTaken(cause) || tries >= MAX_TRIES) {
        throw cause;
      }
    }
  }
}
