import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Packages in dependency order groups: a package may import only the names listed for it. */
const allowedImports = {
  clock: [],
  errors: [],
  log: ['clock', 'errors'],
  telemetry: ['clock', 'errors'],
  config: ['errors'],
  protocol: ['errors'],
  decide: ['errors', 'config', 'protocol'],
  transport: ['clock', 'errors', 'log', 'protocol'],
  backends: ['clock', 'errors', 'log', 'config', 'protocol', 'decide', 'transport'],
  membership: ['clock', 'errors', 'log', 'protocol', 'decide', 'transport', 'backends'],
  entry: ['clock', 'errors', 'log', 'telemetry', 'config', 'protocol', 'decide', 'transport', 'backends', 'membership'],
  gateway: ['clock', 'errors', 'log', 'telemetry', 'config', 'protocol', 'decide', 'transport', 'backends', 'entry'],
  ctl: ['clock', 'errors', 'log', 'config', 'protocol', 'transport', 'backends'],
  standins: ['clock', 'errors', 'log', 'config', 'transport'],
};

const layerRules = Object.entries(allowedImports).map(([name, allowed]) => {
  const forbidden = [...Object.keys(allowedImports), 'bench'].filter(
    (other) => other !== name && !allowed.includes(other),
  );
  return {
    name: `layers/${name}`,
    files: [`packages/${name}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: forbidden.map((other) => ({
            name: `@bergamotcove/${other}`,
            message: `${name} must not depend on ${other}; see docs/design.md, section 2.`,
          })),
        },
      ],
    },
  };
});

const pureDecisionRules = {
  name: 'decide/pure',
  files: ['packages/decide/src/**/*.ts'],
  ignores: ['**/*.test.ts'],
  rules: {
    'no-restricted-globals': [
      'error',
      ...['setTimeout', 'setInterval', 'setImmediate', 'queueMicrotask', 'performance', 'fetch', 'process'].map(
        (name) => ({ name, message: 'Decision logic takes time, randomness and I/O results as arguments.' }),
      ),
    ],
    'no-restricted-properties': [
      'error',
      { object: 'Date', property: 'now', message: 'Pass nowMs as an argument.' },
      { object: 'Math', property: 'random', message: 'Pass a random source as an argument.' },
    ],
    'no-restricted-syntax': [
      'error',
      { selector: 'NewExpression[callee.name="Date"]', message: 'Pass nowMs as an argument.' },
      { selector: 'ImportDeclaration[source.value=/^node:/]', message: 'Decision logic does no I/O.' },
    ],
  },
};

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'reports/**', '**/*.gen.ts'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    name: 'project/format',
    rules: {
      // Prettier owns the layout; these rules would contradict it.
      ...Object.fromEntries(
        Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((rule) => [`@stylistic/${rule}`, 'off']),
      ),
    },
  },
  {
    name: 'project/rules',
    files: ['**/*.ts'],
    settings: { node: { version: '>=20.19.0' } },
    rules: {
      // The compile target runs iterators and generators natively; streams are read with `for await`.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'import-x/extensions': 'off',
      // The TypeScript compiler resolves every import; the linter's resolver needs a build first.
      'import-x/no-unresolved': 'off',
      'import-x/no-cycle': ['error', { maxDepth: 3 }],
      'import-x/no-extraneous-dependencies': 'off',
      'no-underscore-dangle': 'off',
      'max-lines': ['error', { max: 400 }],
      'max-lines-per-function': ['error', { max: 50, skipComments: true, skipBlankLines: true }],
    },
  },
  {
    name: 'project/types',
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
  },
  {
    name: 'project/scripts',
    files: ['**/*.mjs', 'packages/*/bin/*.js'],
    rules: {
      'no-console': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-process-exit': 'off',
      'n/no-sync': 'off',
      'n/hashbang': 'off',
    },
  },
  {
    name: 'project/tests',
    files: ['**/*.test.ts', '**/testing/*.ts'],
    rules: { 'max-lines-per-function': 'off', 'no-await-in-loop': 'off' },
  },
  {
    name: 'project/catalogues',
    files: ['**/constants.ts', '**/*Schema.ts', '**/metrics.ts', '**/events.ts', '**/deployments.ts', '**/wire.ts'],
    rules: { 'import-x/prefer-default-export': 'off' },
  },
  {
    name: 'project/start-up',
    files: [
      'packages/config/src/readSettings.ts',
      'packages/log/src/createLineWriter.ts',
      'packages/bench/src/**/*.ts',
      'packages/ctl/src/**/*.ts',
      'platform/src/main.ts',
    ],
    rules: { 'n/no-sync': 'off' },
  },
  {
    name: 'project/sequential-runs',
    files: ['packages/bench/src/**/*.ts', 'packages/standins/src/**/*.ts'],
    rules: { 'no-await-in-loop': 'off' },
  },
  {
    name: 'project/entry-points',
    files: [
      'packages/*/src/main.ts',
      'platform/src/*main.ts',
      'packages/ctl/src/**/*.ts',
      'packages/bench/src/**/*.ts',
    ],
    rules: { 'no-console': 'off', 'n/no-process-exit': 'off' },
  },
  ...layerRules,
  pureDecisionRules,
];
