/** Installs, compiles and runs a command of a package: `node tools/run.mjs PACKAGE COMMAND [arguments]`. */
import { spawnSync } from 'node:child_process';
import path from 'node:path';
import { build, installIfNeeded, rootDir } from './install.mjs';

const [packageName, command, ...args] = process.argv.slice(2);
installIfNeeded();
build();
// The platform adapter is not in `packages`, but in its own folder at the repository root.
const workspace = packageName === 'platform' ? packageName : path.join('packages', packageName);
const script = path.join(rootDir, workspace, 'dist', `${command}.main.js`);
const result = spawnSync(process.execPath, [script, ...args], { stdio: 'inherit', cwd: rootDir });
process.exit(result.status ?? 1);
