/** The whole check of the repository: install, build, format, lint and every test. */
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import path from 'node:path';
import { installIfNeeded, rootDir, run } from './install.mjs';

const TEST_CONCURRENCY = 4;

/** Removes earlier build output, so that tests of deleted sources do not run. */
function cleanBuildOutput() {
  readdirSync(path.join(rootDir, 'packages')).forEach((name) => {
    rmSync(path.join(rootDir, 'packages', name, 'dist'), { recursive: true, force: true });
    rmSync(path.join(rootDir, 'packages', name, 'tsconfig.tsbuildinfo'), { force: true });
  });
}

/** Lists the compiled test files of all packages in a stable order. */
function listTestFiles() {
  return readdirSync(path.join(rootDir, 'packages'))
    .flatMap((name) => {
      const dist = path.join(rootDir, 'packages', name, 'dist');
      return existsSync(dist)
        ? readdirSync(dist, { recursive: true }).map((file) => path.join(dist, String(file)))
        : [];
    })
    .filter((file) => file.endsWith('.test.js'))
    .sort();
}

/** Prints the known failing cases, which the tests skip by name. */
function printKnownRed() {
  const file = path.join(rootDir, 'KNOWN-RED.txt');
  const entries = existsSync(file) ? readFileSync(file, 'utf8').trim() : '';
  if (entries !== '') {
    console.log(`Known failing cases:\n${entries}`);
  }
}

installIfNeeded();
cleanBuildOutput();
run('npx', ['--no-install', 'tsc', '-b']);
run('npx', ['--no-install', 'prettier', '--check', '--log-level', 'warn', '.']);
run('npx', ['--no-install', 'eslint', '--max-warnings', '0', '.']);
run(process.execPath, ['tools/docs.mjs', '--check']);
printKnownRed();
const result = spawnSync(
  process.execPath,
  ['--test', `--test-concurrency=${TEST_CONCURRENCY}`, '--test-reporter=spec', ...listTestFiles()],
  { cwd: rootDir, stdio: 'inherit' },
);
process.exit(result.status ?? 1);
