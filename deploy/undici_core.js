// What the platform's program uses of undici. Its index loads the whole of fetch,
// WebSocket and caches as well, which a start on a small machine pays for: the
// bundle takes this file in its place (the alias in build_platform.js).
// The alias holds for paths below the package, too, hence the relative ones.
import Agent from "../node_modules/undici/lib/dispatcher/agent.js";
import dispatchRequest from "../node_modules/undici/lib/api/api-request.js";

export { Agent };
export { default as buildConnector } from "../node_modules/undici/lib/core/connect.js";
export { default as Client } from "../node_modules/undici/lib/dispatcher/client.js";

const SHARED_AGENT = new Agent();

/** The same call as undici's own `request`. */
export function request(url, options = {}) {
  const { dispatcher = SHARED_AGENT, ...rest } = options;
  const { origin, pathname, search } = new URL(url);
  return dispatchRequest.call(dispatcher, {
    method: rest.body === undefined ? "GET" : "PUT",
    ...rest,
    origin,
    path: pathname + search,
  });
}
