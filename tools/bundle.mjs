/** Builds the program that runs on the platform: compiles the packages and bundles what the entry point imports. */
import { build as bundle } from 'esbuild';
import bundleOptions from './bundleOptions.mjs';
import { build } from './install.mjs';

build();
await bundle(bundleOptions);
