// Runs the main bundle, a CommonJS module, with the code cache that the build made. Compiling
// the bundle is the largest part of a start; the cache holds what a start and calls need. V8
// rejects a cache of another version or of other options: the bundle is then compiled as usual.
// build_platform.js puts this file behind the bundle of the early signals.
const { readFileSync } = require("node:fs");
const { Script } = require("node:vm");

function compileMain(path) {
  let cachedData;
  try {
    cachedData = readFileSync(`${path}.cache`);
  } catch {
    // Without a cache, the bundle is compiled.
  }
  // The bundle has no characters beyond ASCII, as esbuild escapes them.
  const text = readFileSync(path, "latin1");
  return new Script(
    `(function(exports,require,module,__filename,__dirname){${text}\n})`,
    { filename: path, cachedData },
  );
}

function runMain(path, mainRequire) {
  const script = compileMain(path);
  const main = { exports: {} };
  script.runInThisContext()(main.exports, mainRequire, main, path, __dirname);
  return script;
}
