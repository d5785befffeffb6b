import path from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository. */
export const ROOT_DIR = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../..');

/** Script of a package's built module. */
export const builtScript = (packageName: string, file: string): string =>
  path.join(ROOT_DIR, 'packages', packageName, 'dist', file);

/** File of an example service document. */
export const exampleFile = (deployment: string, service: string): string =>
  path.join(ROOT_DIR, 'examples', deployment, `${service}.json`);
