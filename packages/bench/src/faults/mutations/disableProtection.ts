import { spawnSync } from 'node:child_process';
import type { Protection } from '../types.js';

/**
 * Turns one protection off for this run of the matrix. Module hooks replace the functions that implement it. They must
 * be registered before any module is loaded, so this process runs the same command again in a child process with the
 * hooks and exits with its status.
 *
 * @param protection - protection to turn off; none leaves everything in place
 */
export default function disableProtection(protection: Protection | undefined): void {
  // The drain wait needs no hooks: it is a setting of the entry hosts.
  if (protection === undefined || protection === 'drain-wait' || process.env.BERGAMOT_MUTATION !== undefined) {
    return;
  }
  const hooks = new URL('./registerHooks.js', import.meta.url).href;
  const env = { ...process.env, BERGAMOT_MUTATION: protection };
  const result = spawnSync(process.execPath, ['--import', hooks, ...process.argv.slice(1)], { stdio: 'inherit', env });
  process.exit(result.status ?? 1);
}
