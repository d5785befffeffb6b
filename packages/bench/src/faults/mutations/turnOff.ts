import { spawnSync } from 'node:child_process';
import type { Protection } from '../types.js';

/**
 * Turns one protection off for this run of the matrix. Decision functions are replaced by module hooks, which must be
 * in place before any module is loaded, so the process starts itself again with them.
 *
 * @param protection - protection to turn off, if any
 */
export default function turnOff(protection: Protection | undefined): void {
  // The drain wait is a setting of the entry hosts.
  if (protection === undefined || protection === 'drain-wait' || process.env.BERGAMOT_MUTATION !== undefined) {
    return;
  }
  const hooks = new URL('./registerHooks.js', import.meta.url).href;
  const env = { ...process.env, BERGAMOT_MUTATION: protection };
  const result = spawnSync(process.execPath, ['--import', hooks, ...process.argv.slice(1)], { stdio: 'inherit', env });
  process.exit(result.status ?? 1);
}
