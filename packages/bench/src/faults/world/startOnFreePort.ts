const MAX_TRIES = 5;

const isTaken = (cause: unknown): boolean =>
  cause instanceof Error &&
  ((cause as NodeJS.ErrnoException).code === 'EADDRINUSE' || /EADDRINUSE/.test(cause.message));

/**
 * Starts something on a port that was free a moment ago. Worlds of other processes draw from the same ports, and one of
 * them may take it in between; another port is tried then.
 *
 * @param findPort - finds a free port
 * @param start - starts on the port
 * @returns what was started
 * @throws what `start` threw last
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
