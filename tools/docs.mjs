/**
 * Generates the documentation pages and JSON schemas from the code: `npm run docs`. With `--check` it writes nothing
 * and exits with status 1 when a committed file differs from the generated one.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import prettier from 'prettier';
import { build, installIfNeeded, rootDir } from './install.mjs';

const checkOnly = process.argv.includes('--check');

/** Imports the index module of a built package. */
const importPackage = (name) => import(path.join(rootDir, 'packages', name, 'dist', 'index.js'));

/**
 * Formats JSON with the Prettier settings of the repository. Markdown stays unformatted, because Prettier would
 * re-align every row of a table for one long row.
 */
async function formatContent(file, text) {
  if (file.endsWith('.md')) {
    return text;
  }
  return prettier.format(text, { ...(await prettier.resolveConfig(file)), filepath: file });
}

/** Generates the files; returns the name, path and content of each. */
async function listFiles() {
  const [config, log, telemetry] = await Promise.all(['config', 'log', 'telemetry'].map(importPackage));
  const files = [
    ['docs/log-events.md', log.formatEventCatalogue(log.LOG_EVENTS, log.eventTexts)],
    ['docs/metrics.md', telemetry.formatMetricCatalogue(telemetry.METRICS)],
    ...config.formatJsonSchemas().map(({ name, schema }) => [`schemas/${name}`, JSON.stringify(schema)]),
  ];
  return Promise.all(
    files.map(async ([name, text]) => {
      const file = path.join(rootDir, name);
      return { name, file, text: await formatContent(file, text) };
    }),
  );
}

if (!checkOnly) {
  installIfNeeded();
  build();
}
const files = await listFiles();
const stale = files.filter(({ file, text }) => !existsSync(file) || readFileSync(file, 'utf8') !== text);
if (checkOnly) {
  stale.forEach(({ name }) => console.error(`${name} differs from the code; run "npm run docs" and commit the result`));
  process.exitCode = stale.length === 0 ? 0 : 1;
} else {
  stale.forEach(({ name, file, text }) => {
    mkdirSync(path.dirname(file), { recursive: true });
    writeFileSync(file, text);
    console.log(`wrote ${name}`);
  });
}
