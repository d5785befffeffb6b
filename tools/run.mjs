/** Runs a command of the bench package after installing and building: `node tools/run.mjs bench NAME [arguments]`. */
import { spawnSync } from 'node:child_process';
import path from 'node:path';
import { build, installIfNeeded, rootDir } from './install.mjs';

const [packageName, command, ...args] = process.argv.slice(2);
installIfNeeded();
build();
const script = path.join(rootDir, 'packages', packageName, 'dist', `${command}.main.js`);
const result = spawnSync(process.execPath, [script, ...args], { stdio: 'inherit', cwd: rootDir });
process.exit(result.status ?? 1);
