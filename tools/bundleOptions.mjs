/** Bundling of the program that runs on the platform. */
import { createHash } from 'node:crypto';
import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { rootDir } from './install.mjs';

/** Defines `require`, which CommonJS dependencies call and which an ES module does not have. */
const REQUIRE_BANNER =
  "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);";

/** Identifies the program by its sources and dependencies. */
const hashSources = () => {
  const sources = ['packages', 'platform']
    .flatMap((folder) =>
      readdirSync(path.join(rootDir, folder), { recursive: true }).map((file) => `${folder}/${file}`),
    )
    .filter((file) => /\/src\/.*(?<!\.test)\.ts$/.test(file) && !file.includes('node_modules'));
  return [...sources.sort(), 'package-lock.json']
    .reduce((hash, file) => hash.update(readFileSync(path.join(rootDir, file))), createHash('sha256'))
    .digest('hex')
    .slice(0, 12);
};

/** Leaves out the parts of pino that write to several streams or to worker threads; the program logs to standard output. */
const withoutPinoTransports = {
  name: 'without-pino-transports',
  setup: (build) =>
    build.onLoad({ filter: /[\\/]pino[\\/]lib[\\/](?:transport|multistream)\.js$/ }, () => ({ contents: '' })),
};

/** Options of esbuild. */
const bundleOptions = {
  entryPoints: [path.join(rootDir, 'platform/dist/main.js')],
  outfile: path.join(rootDir, 'target/bergamotcove.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  define: { 'process.env.BERGAMOTCOVE_BUILD': JSON.stringify(hashSources()) },
  minify: true,
  alias: {
    // For the platform `node`, rxjs resolves to its CommonJS build, which cannot be tree-shaken.
    rxjs: path.join(rootDir, 'node_modules/rxjs/dist/esm/index.js'),
    // The main module of debug chooses between its builds for browsers and for Node.js when it runs.
    debug: path.join(rootDir, 'node_modules/debug/src/node.js'),
    // Optional for debug, which selects namespaces here and prints nothing; installed only for the linter.
    'supports-color': path.join(rootDir, 'tools/emptyModule.cjs'),
    // Used by pino only with its option `redact`, which the logger does not set.
    '@pinojs/redact': path.join(rootDir, 'tools/emptyModule.cjs'),
  },
  plugins: [withoutPinoTransports],
  banner: { js: REQUIRE_BANNER },
  logLevel: 'warning',
};

export default bundleOptions;
