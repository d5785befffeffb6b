/** The whole check of the repository: install, build, format, lint and every test. */
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import path from 'node:path';
import { installIfNeeded, rootDir, run } from './install.mjs';

/** With four files at a time, requests with deadlines of 2 s missed them on a machine that was busy otherwise. */
const TEST_CONCURRENCY = 2;

/** Folders of the workspaces. */
const workspaceDirs = [
  ...readdirSync(path.join(rootDir, 'packages')).map((name) => path.join(rootDir, 'packages', name)),
  path.join(rootDir, 'platform'),
];

/** Removes earlier build output, so that tests of deleted sources do not run. */
function cleanBuildOutput() {
  workspaceDirs.forEach((dir) => {
    rmSync(path.join(dir, 'dist'), { recursive: true, force: true });
    rmSync(path.join(dir, 'tsconfig.tsbuildinfo'), { force: true });
  });
}

/** Lists the compiled test files of all packages in a stable order. */
function listTestFiles() {
  return workspaceDirs
    .flatMap((dir) => {
      const dist = path.join(dir, 'dist');
      return existsSync(dist)
        ? readdirSync(dist, { recursive: true }).map((file) => path.join(dist, String(file)))
        : [];
    })
    .filter((file) => file.endsWith('.test.js'))
    .sort();
}

/**
 * Names of the tests listed in KNOWN-RED.txt. An entry is a block of lines `test:`, `command:`, `seed:`, `seen:` and
 * `issue:`; the name must match exactly.
 */
function readKnownRed() {
  const file = path.join(rootDir, 'KNOWN-RED.txt');
  const text = existsSync(file) ? readFileSync(file, 'utf8') : '';
  return text
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

/** Arguments that pass over the known failing tests; the runner counts them as skipped. */
function excludeTests(names) {
  if (names.length === 0) {
    return [];
  }
  console.log(`Known failing tests, passed over (see KNOWN-RED.txt):\n${names.join('\n')}`);
  const escaped = names.map((name) => name.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&'));
  // The runner also matches the name of its root, which must not count as a match for the tests below it.
  return [`--test-name-pattern=/^(?!<root>$)(?!(?:${escaped.join('|')})$)./`];
}

installIfNeeded();
cleanBuildOutput();
run('npx', ['--no-install', 'tsc', '-b']);
run('npx', ['--no-install', 'prettier', '--check', '--log-level', 'warn', '.']);
run('npx', ['--no-install', 'eslint', '--max-warnings', '0', '.']);
run(process.execPath, ['tools/docs.mjs', '--check']);
const result = spawnSync(
  process.execPath,
  [
    '--test',
    `--test-concurrency=${TEST_CONCURRENCY}`,
    '--test-reporter=spec',
    ...excludeTests(readKnownRed()),
    ...listTestFiles(),
  ],
  { cwd: rootDir, stdio: 'inherit' },
);
process.exit(result.status ?? 1);
