import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

const rootFolder = dirname(fileURLToPath(import.meta.url));

export default [
  { ignores: ['target/**', '**/dist/**', '**/node_modules/**', '.tap/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // The compiler resolves the workspace's packages and checks their dependencies.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-named-as-default': 'off',
      // The brief asks for one class a file and small modules; most export one name.
      'import-x/prefer-default-export': 'off',
      // Guard clauses (brief) go before Airbnb's ban on `continue`.
      'no-continue': 'off',
      // Node 20 runs for..of and await natively; Airbnb's reason (a transpiled runtime) is gone.
      'no-restricted-syntax': [
        'error',
        ...rules.base.style.rules['no-restricted-syntax']
          .slice(1)
          .filter((entry) => entry.selector !== 'ForOfStatement'),
      ],
      'no-await-in-loop': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-void': ['error', { allowAsStatement: true }],
      'class-methods-use-this': [
        'error',
        { ignoreOverrideMethods: true, enforceForClassFields: false },
      ],
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: rootFolder },
    },
    rules: {
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreOverrideMethods: true, enforceForClassFields: false },
      ],
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'inline-type-imports' }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
    },
  },
  {
    files: ['tools/**', 'packages/{cli,bench,demo,testkit,scenarios}/**'],
    rules: { 'no-console': 'off', 'n/no-process-exit': 'off', 'n/no-sync': 'off' },
  },
  {
    // A program decides its own exit code.
    files: ['**/main.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      'max-classes-per-file': 'off',
      // The error library's own way to open a result in a test.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
    },
  },
];
