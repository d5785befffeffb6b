/** Registers the module hooks of the mutation check. */
// The API is a release candidate in Node 20 and suffices for the mutation check.
// eslint-disable-next-line n/no-unsupported-features/node-builtins
import { register } from 'node:module';

register('./hooks.js', import.meta.url, { data: process.env.BERGAMOT_MUTATION });
