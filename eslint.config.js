// Linter configuration: the Google TypeScript Style Guide, function names that
// begin with a verb from docs/style.md, and import restrictions between folders
// whose objects have different lifetimes.
import {readFileSync} from 'node:fs';
import {createTypeScriptImportResolver} from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import tseslint from 'typescript-eslint';

const VERBS = new Set(
  (
    readFileSync(new URL('docs/style.md', import.meta.url), 'utf8')
      .split('\n')
      .find((line) => line.includes(', add, ')) ?? ''
  ).split(', '),
);

const LIBRARY = './packages/sycamoreyoke/src';
const LIFE_SPANS = ['request', 'connection', 'version', 'process'];

/** Modules may only import from folders with the same or a longer lifetime. */
const lifeSpanZones = LIFE_SPANS.flatMap((span, index) =>
  LIFE_SPANS.slice(0, index).map((shorter) => ({
    target: `${LIBRARY}/${span}`,
    from: `${LIBRARY}/${shorter}`,
  })),
);

const rootZones = LIFE_SPANS.map((span) => ({
  target: `${LIBRARY}/*.ts`,
  from: `${LIBRARY}/${span}`,
}));

/** The packages must not import from the platform adapter. */
const adapterZones = [{target: './packages', from: './platform'}];

/** The product needs no stand-in; the build checks all that it imports. */
const productZones = [
  {
    target: './platform/src/!(*.test).ts',
    from: ['./platform/src/standins', './platform/src/soak'],
  },
];

const verbRule = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    const check = (node, name) => {
      const verb = /^[a-z]+/.exec(name)?.[0] ?? '';
      if (!VERBS.has(verb)) {
        context.report({
          node,
          message: `"${name}" does not begin with a verb from docs/style.md`,
        });
      }
    };
    return {
      FunctionDeclaration(node) {
        if (node.id) check(node, node.id.name);
      },
      MethodDefinition(node) {
        const isNamed =
          node.kind === 'method' && node.key.type === 'Identifier';
        if (isNamed && !node.override) check(node, node.key.name);
      },
    };
  },
};

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/gen/**',
      '**/*.mjs',
      'eslint.config.js',
      '**/bin/**',
    ],
  },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {parserOptions: {projectService: true}},
    plugins: {
      'import-x': importX,
      house: {rules: {'verb-first': verbRule}},
    },
    settings: {
      'import-x/resolver-next': [
        createTypeScriptImportResolver({project: 'tsconfig.json'}),
      ],
    },
    rules: {
      'house/verb-first': 'error',
      'import-x/no-cycle': 'error',
      'import-x/no-default-export': 'error',
      'import-x/no-restricted-paths': [
        'error',
        {
          zones: [
            ...lifeSpanZones,
            ...rootZones,
            ...adapterZones,
            ...productZones,
          ],
        },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'enumMember', format: ['UPPER_CASE']},
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        {selector: 'variable', format: ['camelCase']},
        {selector: 'function', format: ['camelCase']},
        {selector: 'classMethod', format: ['camelCase']},
      ],
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        {allowNumber: true, allowBoolean: true},
      ],
      eqeqeq: ['error', 'always'],
      'prefer-const': 'error',
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      // Mocha runs top-level hooks for the tests of all files.
      'no-restricted-syntax': [
        'error',
        {
          selector:
            'Program > ExpressionStatement > CallExpression[callee.name=/^(before|beforeEach|after|afterEach)$/]',
          message: 'hooks stand inside the suite of their file',
        },
      ],
      'max-lines': ['error', {max: 500, skipBlankLines: true}],
    },
  },
);
