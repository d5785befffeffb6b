/** How the program that runs on the platform is bundled. */
import path from 'node:path';
import { rootDir } from './install.mjs';

/** Dependencies in CommonJS form call `require`, which a module does not have. */
const REQUIRE_BANNER =
  "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);";

/** Options for esbuild. */
const bundleOptions = {
  entryPoints: [path.join(rootDir, 'platform/dist/main.js')],
  outfile: path.join(rootDir, 'target/bergamotcove.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  // For Node the package names its CommonJS form, from which nothing can be left out.
  alias: { rxjs: path.join(rootDir, 'node_modules/rxjs/dist/esm/index.js') },
  banner: { js: REQUIRE_BANNER },
  logLevel: 'warning',
};

export default bundleOptions;
