import type { ResolveFnOutput, ResolveHookContext } from 'node:module';

/** A module of the system, by the end of its URL, and the mutation in this folder that replaces it. */
interface Replacement {
  readonly target: string;
  readonly module: string;
}

const REPLACEMENTS: Readonly<Record<string, readonly Replacement[]>> = {
  'attempt-id': [
    { target: '/decide/dist/request/advanceRequest.js', module: 'acceptAnyAttempt' },
    { target: '/platform/dist/servers/callServer.js', module: 'callWithoutAttemptId' },
  ],
  'claim-before-send': [{ target: '/decide/dist/request/advanceRequest.js', module: 'sendBeforeClaim' }],
  'sequence-fencing': [{ target: '/platform/dist/store/createStoreClient.js', module: 'storeWithoutFencing' }],
  'poison-stop': [{ target: '/decide/dist/poison/advancePoison.js', module: 'neverBlock' }],
};

const ORIGINAL = 'mutation:original';
const originals = new Map<string, string>();
let active: readonly Replacement[] = [];

const toUrl = ({ module }: Replacement): string => new URL(`./${module}.js`, import.meta.url).href;

/** Selects the modules to replace by the name of the protection that is turned off. */
export function initialize(protection: string): void {
  active = REPLACEMENTS[protection] ?? [];
}

/** Resolves a replaced module to its replacement, and `mutation:original` within it to the replaced module. */
export async function resolve(
  specifier: string,
  context: ResolveHookContext,
  next: (specifier: string, context?: ResolveHookContext) => ResolveFnOutput | Promise<ResolveFnOutput>,
): Promise<ResolveFnOutput> {
  if (specifier === ORIGINAL) {
    return { url: originals.get(context.parentURL ?? '') ?? '', shortCircuit: true };
  }
  const resolved = await next(specifier, context);
  const replacement = active.find(({ target }) => resolved.url.endsWith(target));
  if (replacement === undefined) {
    return resolved;
  }
  originals.set(toUrl(replacement), resolved.url);
  return { ...resolved, url: toUrl(replacement) };
}
