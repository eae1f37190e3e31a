import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, waitFor } from "../clock/mod.ts";
import type { StoreEvent, StoreFailure } from "../store/mod.ts";
import { readBody, sendJson } from "./http_basics.ts";
import { LoopbackServer } from "./loopback_server.ts";
import { MemoryStore } from "./memory_store.ts";

/** An entry of the platform's list of instances. */
export interface ListedInstance {
  readonly id: string;
  readonly region: string;
  readonly failure_domain: string;
  readonly peer_address: string;
  readonly caller_url: string;
  readonly state: "live" | "leaving";
}

interface TxnRequest {
  readonly compare: readonly [
    { readonly key: string; readonly mod_revision: string },
  ];
  readonly success: readonly [{
    readonly request_put?: { readonly value: string; readonly lease?: string };
    readonly request_delete_range?: unknown;
  }];
}

/** A stand-in for the platform that serves the key-value store, the list of instances and the directory. */
export class PlatformServer extends LoopbackServer {
  readonly store: MemoryStore;
  /** URLs in the directory, by region. */
  readonly directory = new Map<string, readonly string[]>();
  /** Delay until a change of the list is served, in milliseconds. */
  listLagMs = 0;
  readonly #clock: Clock;
  #listed: readonly ListedInstance[] = [];

  /** @param clock Source of time. */
  constructor(clock: Clock) {
    super();
    this.#clock = clock;
    this.store = new MemoryStore(clock);
  }

  /** Sets the list of instances, which is served after {@linkcode listLagMs}. */
  setInstances(instances: readonly ListedInstance[]): void {
    void waitFor(this.#clock, this.listLagMs).then(() => {
      this.#listed = instances;
    });
  }

  protected override async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = message.url ?? "/";
    const text = (await readBody(message)).toString();
    if (path.startsWith("/v3/")) {
      return await this.#serveStore(path, text, response);
    }
    if (path === "/instances") return sendJson(response, 200, this.#listed);
    if (path.startsWith("/directory/")) {
      const region = decodeURIComponent(path.slice("/directory/".length));
      if (message.method === "PUT") {
        const { urls } = JSON.parse(text) as {
          readonly urls: readonly string[];
        };
        this.directory.set(region, urls);
      }
      return sendJson(response, 200, {
        urls: this.directory.get(region) ?? [],
      });
    }
    if (path === "/control/instances") {
      this.setInstances(JSON.parse(text) as readonly ListedInstance[]);
      return sendJson(response, 200, {});
    }
    if (path === "/control/faults") {
      const { isDown, ...faults } = JSON.parse(text) as {
        readonly isDown?: boolean;
      };
      Object.assign(this.store.faults, faults);
      if (isDown !== undefined) this.store.setDown(isDown);
      return sendJson(response, 200, this.store.faults);
    }
    if (path === "/control/counts") {
      return sendJson(response, 200, this.store.counts);
    }
    sendJson(response, 404, {});
  }

  async #serveStore(
    path: string,
    text: string,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.parse(text) as Record<string, string>;
    switch (path) {
      case "/v3/kv/range":
        return await this.#serveRange(body, response);
      case "/v3/kv/txn":
        return await this.#serveTxn(JSON.parse(text) as TxnRequest, response);
      case "/v3/watch":
        return await this.#serveWatch(text, response);
      case "/v3/lease/grant": {
        const granted = await this.store.grantLease(Number(body.TTL) * 1_000);
        if (granted.isErr()) return sendFailure(response, granted.error);
        return sendJson(response, 200, { ID: granted.value, TTL: body.TTL });
      }
      case "/v3/lease/keepalive": {
        const renewed = await this.store.renewLease(String(body.ID));
        if (renewed.isErr()) return sendFailure(response, renewed.error);
        return sendJson(response, 200, {
          result: { TTL: renewed.value ? "1" : "0" },
        });
      }
      case "/v3/lease/revoke": {
        const revoked = await this.store.revokeLease(String(body.ID));
        if (revoked.isErr()) return sendFailure(response, revoked.error);
        return sendJson(response, 200, {});
      }
      default:
        return sendJson(response, 404, {});
    }
  }

  async #serveRange(
    body: Record<string, string>,
    response: ServerResponse,
  ): Promise<void> {
    const key = decode(body.key ?? "");
    const found = body.range_end === undefined
      ? (await this.store.read(key)).map((entry) =>
        entry === undefined ? [] : [entry]
      )
      : await this.store.readPrefix(key);
    if (found.isErr()) return sendFailure(response, found.error);
    const kvs = found.value.map((entry) => ({
      key: encode(entry.key),
      value: encode(entry.value),
      mod_revision: String(entry.revision),
    }));
    sendJson(response, 200, { kvs, count: String(kvs.length) });
  }

  async #serveTxn(body: TxnRequest, response: ServerResponse): Promise<void> {
    const [{ key, mod_revision }] = body.compare;
    const put = body.success[0].request_put;
    const swapped = await this.store.swap({
      key: decode(key),
      expectedRevision: Number(mod_revision),
      value: put === undefined ? undefined : decode(put.value),
      ...(put?.lease === undefined || put.lease === "0"
        ? {}
        : { leaseId: put.lease }),
    });
    if (swapped.isErr()) return sendFailure(response, swapped.error);
    const outcome = swapped.value;
    const revision = outcome.kind === "written" ? outcome.revision : 0;
    sendJson(response, 200, {
      succeeded: outcome.kind === "written",
      header: { revision: String(revision) },
    });
  }

  async #serveWatch(text: string, response: ServerResponse): Promise<void> {
    const { create_request } = JSON.parse(text) as {
      readonly create_request: { readonly key: string };
    };
    if (this.store.faults.isDown) {
      return sendFailure(response, { kind: "unavailable", message: "down" });
    }
    const ended = new AbortController();
    response.on("close", () => ended.abort());
    response.writeHead(200, { "content-type": "application/json" });
    response.write(`${JSON.stringify({ result: { created: true } })}\n`);
    for await (
      const event of this.store.watch(decode(create_request.key), ended.signal)
    ) {
      response.write(
        `${JSON.stringify({ result: { events: [toWatchEvent(event)] } })}\n`,
      );
    }
    response.end();
  }
}

function toWatchEvent(event: StoreEvent): unknown {
  return {
    type: event.value === undefined ? "DELETE" : "PUT",
    kv: {
      key: encode(event.key),
      value: encode(event.value ?? ""),
      mod_revision: String(event.revision),
    },
  };
}

function sendFailure(response: ServerResponse, failure: StoreFailure): void {
  if (failure.kind === "unknown") {
    response.destroy();
    return;
  }
  sendJson(response, 503, { message: failure.message });
}

function encode(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}
