import {build} from 'esbuild';

/** Programs, each built to one file. */
const PROGRAMS = {
  'samphireramp-site': 'packages/site-daemon/src/main.ts',
  samphireramp: 'packages/operator-command/src/main.ts',
  demo: 'demo/main.ts',
};

// Bundled CommonJS libraries ask for `require`, which modules do not have.
const REQUIRE_BANNER =
  "import {createRequire as makeRequire} from 'node:module'; const require = makeRequire(import.meta.url);";

// The folder may be named, as the platform's deployment does.
const [outdir = 'dist'] = process.argv.slice(2);

await build({
  entryPoints: PROGRAMS,
  outdir,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // Names stay readable in logs; keeping them by calls would cost at run time.
  minifyWhitespace: true,
  minifySyntax: true,
  banner: {js: REQUIRE_BANNER},
  external: ['msgpackr-extract'],
  logLevel: 'warning',
});
