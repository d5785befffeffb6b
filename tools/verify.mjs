/** Runs all checks of the repository: install, build, format, lint, generated files and every test. */
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import path from 'node:path';
import { installIfNeeded, rootDir, run } from './install.mjs';

/** Test files run at a time. With four, requests with deadlines of 2 s missed them on a machine with other load. */
const TEST_CONCURRENCY = 2;

/** Prefix of the test files that load processes with many clients; they run after all others, one at a time. */
const CROWD_PREFIX = 'clientCrowds';

/** Folders of all workspaces: the packages and the platform adapter. */
const workspaceDirs = [
  ...readdirSync(path.join(rootDir, 'packages')).map((name) => path.join(rootDir, 'packages', name)),
  path.join(rootDir, 'platform'),
];

/** Removes earlier build output, so that compiled tests of deleted sources do not run. */
function cleanBuildOutput() {
  workspaceDirs.forEach((dir) => {
    rmSync(path.join(dir, 'dist'), { recursive: true, force: true });
    rmSync(path.join(dir, 'tsconfig.tsbuildinfo'), { force: true });
  });
}

/** Lists the compiled test files of all workspaces, sorted. */
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
 * Reads the names of the known failing tests from KNOWN-RED.txt. An entry is a block of the lines `test:`, `command:`,
 * `seed:`, `seen:` and `issue:`; the name must equal the test title.
 */
function readKnownRed() {
  const file = path.join(rootDir, 'KNOWN-RED.txt');
  const text = existsSync(file) ? readFileSync(file, 'utf8') : '';
  return text
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

/** Returns the arguments that exclude the known failing tests; the test runner reports them as skipped. */
function excludeTests(names) {
  if (names.length === 0) {
    return [];
  }
  console.log(`Known failing tests, passed over (see KNOWN-RED.txt):\n${names.join('\n')}`);
  const escaped = names.map((name) => name.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&'));
  // The test runner also applies the pattern to its root `<root>`; a match there would include every test below it.
  return [`--test-name-pattern=/^(?!<root>$)(?!(?:${escaped.join('|')})$)./`];
}

installIfNeeded();
cleanBuildOutput();
run('npx', ['--no-install', 'tsc', '-b']);
run('npx', ['--no-install', 'prettier', '--check', '--log-level', 'warn', '.']);
run('npx', ['--no-install', 'eslint', '--max-warnings', '0', '.']);
run(process.execPath, ['tools/docs.mjs', '--check']);

/** Runs test files, as many at a time as stated; returns the exit status. */
function runTests(files, concurrency, excluded) {
  const runner = ['--test', `--test-concurrency=${concurrency}`, '--test-reporter=spec'];
  return (
    spawnSync(process.execPath, [...runner, ...excluded, ...files], { cwd: rootDir, stdio: 'inherit' }).status ?? 1
  );
}

const excluded = excludeTests(readKnownRed());
const isCrowd = (file) => path.basename(file).startsWith(CROWD_PREFIX);
const files = listTestFiles();
const others = runTests(
  files.filter((file) => !isCrowd(file)),
  TEST_CONCURRENCY,
  excluded,
);
if (others !== 0) {
  console.log('Tests failed, see the summary above; the tests of client crowds follow.');
}
const crowds = runTests(files.filter(isCrowd), 1, excluded);
process.exit(others || crowds);
