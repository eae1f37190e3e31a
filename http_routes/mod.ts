/**
 * Routes of plain HTTP calls: which service serves a host and path, and which bounds
 * apply.
 *
 * @example
 * ```ts
 * import { RouteTable } from "./http_routes/mod.ts";
 * const route = new RouteTable(configuration).findRoute("app.example", "/orders/7?full=1");
 * ```
 * @module
 */
export * from "./host_homes.ts";
export * from "./http_route.ts";
export * from "./route_table.ts";
export * from "./route_call_counter.ts";
