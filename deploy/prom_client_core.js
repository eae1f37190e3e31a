// What the platform's program uses of prom-client. Its index loads the push gateway, the
// cluster registry and the default metrics as well, and with them large modules of Node,
// which a start on a small machine pays for: the bundle takes this file in its place
// (the alias in build_platform.js). The alias holds for paths below the package, too,
// hence the relative ones.
export { default as Counter } from "../node_modules/prom-client/lib/counter.js";
export { default as Gauge } from "../node_modules/prom-client/lib/gauge.js";
export { default as Histogram } from "../node_modules/prom-client/lib/histogram.js";
export { default as Registry } from "../node_modules/prom-client/lib/registry.js";
