import {defineConfig} from 'eslint/config';
import google from 'gts';

/** Packages that hold decisions: they may not know any encoding or transport. */
const DECISION_PACKAGES = [
  'kernel',
  'jobs',
  'stream-log',
  'holding',
  'job-states',
  'intake',
  'fleet',
  'dispatch',
  'hosts',
  'accounts',
  'configuration',
  'run-times',
];

const TRANSPORT_IMPORTS = [
  '@grpc/*',
  'hono',
  'hono/*',
  '@hono/*',
  'undici',
  'msgpackr',
  'node:http',
  'node:net',
  'node:tls',
  '@samphireramp/platform',
  '@samphireramp/host-links',
  '@samphireramp/record-codec',
];

const INTERNALS = {
  group: ['@samphireramp/*/*', '../../../*/src/*'],
  message: 'Import the public face of a package only.',
};

export default defineConfig([
  {ignores: ['dist/**', 'target/**', 'node_modules/**', '.tap/**']},
  ...google,
  {
    files: ['**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {patterns: [INTERNALS]}],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      'max-lines': ['error', 400],
    },
  },
  {
    files: DECISION_PACKAGES.map(name => `packages/${name}/src/**/*.ts`),
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            INTERNALS,
            {
              group: TRANSPORT_IMPORTS,
              message: 'Decisions stay apart from transports and encodings.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['packages/kernel/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['@samphireramp/*', 'zod', 'zod/*'],
              message: 'The kernel depends on no other package.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
  },
]);
