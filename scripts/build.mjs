import {build} from 'esbuild';

/** Entry point of each program; each is bundled into one file. */
const PROGRAMS = {
  'samphireramp-site': 'packages/site-daemon/src/main.ts',
  samphireramp: 'packages/operator-command/src/main.ts',
  demo: 'demo/main.ts',
};

// Bundled CommonJS libraries call `require`, which ES modules do not define.
const REQUIRE_BANNER =
  "import {createRequire as makeRequire} from 'node:module'; const require = makeRequire(import.meta.url);";

// The deployment passes its own output folder.
const [outdir = 'dist'] = process.argv.slice(2);

await build({
  entryPoints: PROGRAMS,
  outdir,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // Identifiers are not minified, so that names in logs stay readable. The option
  // keepNames would add a call for each function at run time.
  minifyWhitespace: true,
  minifySyntax: true,
  banner: {js: REQUIRE_BANNER},
  external: ['msgpackr-extract'],
  logLevel: 'warning',
});
