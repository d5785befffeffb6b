/** Steps that the scripts of this folder share: running commands, installing the locked dependencies, compiling. */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createHash } from 'node:crypto';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const rootDir = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
const markerFile = path.join(rootDir, 'node_modules', '.lock-hash');

/** Runs a command in the repository root; if it fails, exits with its exit code. */
export function run(command, args) {
  const result = spawnSync(command, args, { cwd: rootDir, stdio: 'inherit' });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

/** Installs the dependencies from the lock file unless its hash is that of the last install into node_modules. */
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

/** Compiles all packages; the build mode of the compiler skips unchanged ones. */
export function build() {
  run('npx', ['--no-install', 'tsc', '-b']);
}
