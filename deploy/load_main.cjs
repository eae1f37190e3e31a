// Runs the main bundle, a CommonJS module, with the code cache that the build made. Compiling
// the bundle is the largest part of a start; the cache holds what a start and calls need. V8
// rejects a cache of another version or of other options: the bundle is then compiled as usual.
// Of the bundle, V8 compares the length only, and it does not check the content of a cache: a
// damaged one would end the process, and one of another bundle would run that one's code. The
// file therefore begins with a digest of both.
// build_platform.js puts this file behind the bundle of the early signals.
const { createHash } = require("node:crypto");
const { readFileSync, writeFileSync } = require("node:fs");
const { Script } = require("node:vm");

const DIGEST_BYTES = 32;

function computeCacheDigest(source, code) {
  return createHash("sha256").update(source).update(code).digest();
}

/** Returns the code cache of a bundle, or `undefined` if there is none that is whole. */
function readCache(path, source) {
  try {
    const file = readFileSync(`${path}.cache`);
    const code = file.subarray(DIGEST_BYTES);
    const isWhole = computeCacheDigest(source, code)
      .equals(file.subarray(0, DIGEST_BYTES));
    return isWhole ? code : undefined;
  } catch {
    return undefined;
  }
}

/** Writes what V8 has compiled of a bundle. */
function writeCache(path, script) {
  const code = script.createCachedData();
  const digest = computeCacheDigest(readFileSync(path), code);
  writeFileSync(`${path}.cache`, Buffer.concat([digest, code]));
}

function compileMain(path) {
  const source = readFileSync(path);
  // The bundle has no characters beyond ASCII, as esbuild escapes them.
  const text = source.latin1Slice();
  return new Script(
    `(function(exports,require,module,__filename,__dirname){${text}\n})`,
    { filename: path, cachedData: readCache(path, source) },
  );
}

function runMain(path, mainRequire) {
  const script = compileMain(path);
  const main = { exports: {} };
  script.runInThisContext()(main.exports, mainRequire, main, path, __dirname);
  return script;
}
