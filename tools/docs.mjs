/**
 * Writes the generated pages and schemas from the code: `npm run docs`. With --check it writes nothing and fails when a
 * committed file differs.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import prettier from 'prettier';
import { build, installIfNeeded, rootDir } from './install.mjs';

const isCheck = process.argv.includes('--check');

/** Loads the index of a built package. */
const load = (name) => import(path.join(rootDir, 'packages', name, 'dist', 'index.js'));

/** Formats JSON as the repository does; pages stay as written, so that one long row does not change every row. */
async function format(file, text) {
  if (file.endsWith('.md')) {
    return text;
  }
  return prettier.format(text, { ...(await prettier.resolveConfig(file)), filepath: file });
}

/** Lists the generated files with their text. */
async function listFiles() {
  const [config, log, telemetry] = await Promise.all(['config', 'log', 'telemetry'].map(load));
  const files = [
    ['docs/log-events.md', log.formatEventCatalogue(log.LOG_EVENTS)],
    ['docs/metrics.md', telemetry.formatMetricCatalogue(telemetry.METRICS)],
    ...config.formatJsonSchemas().map(({ name, schema }) => [`schemas/${name}`, JSON.stringify(schema)]),
  ];
  return Promise.all(
    files.map(async ([name, text]) => {
      const file = path.join(rootDir, name);
      return { name, file, text: await format(file, text) };
    }),
  );
}

if (!isCheck) {
  installIfNeeded();
  build();
}
const files = await listFiles();
const stale = files.filter(({ file, text }) => !existsSync(file) || readFileSync(file, 'utf8') !== text);
if (isCheck) {
  stale.forEach(({ name }) => console.error(`${name} differs from the code; run "npm run docs" and commit the result`));
  process.exitCode = stale.length === 0 ? 0 : 1;
} else {
  stale.forEach(({ name, file, text }) => {
    mkdirSync(path.dirname(file), { recursive: true });
    writeFileSync(file, text);
    console.log(`wrote ${name}`);
  });
}
