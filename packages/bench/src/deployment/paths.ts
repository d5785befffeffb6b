import path from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository. */
export const ROOT_DIR = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../..');

/** Path of a built script of a package. */
export const builtScript = (packageName: string, file: string): string =>
  path.join(ROOT_DIR, 'packages', packageName, 'dist', file);

/** Path of an example service document. */
export const exampleFile = (deployment: string, service: string): string =>
  path.join(ROOT_DIR, 'examples', deployment, `${service}.json`);
