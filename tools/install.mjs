/** Installs the locked dependencies and builds all packages when that has not been done for the current sources. */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createHash } from 'node:crypto';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const rootDir = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
const markerFile = path.join(rootDir, 'node_modules', '.lock-hash');

/** Runs a command in the repository root and exits with its code when it fails. */
export function run(command, args) {
  const result = spawnSync(command, args, { cwd: rootDir, stdio: 'inherit' });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

/** Installs from the lock file unless node_modules already matches it. */
export function installIfNeeded() {
  const lockHash = createHash('sha256')
    .update(readFileSync(path.join(rootDir, 'package-lock.json')))
    .digest('hex');
  if (existsSync(markerFile) && readFileSync(markerFile, 'utf8') === lockHash) {
    return;
  }
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
  writeFileSync(markerFile, lockHash);
}

/** Compiles all packages; unchanged packages are skipped by the compiler's build mode. */
export function build() {
  run('npx', ['--no-install', 'tsc', '-b']);
}
