import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Result } from "neverthrow";
import type { RevisionedStore, StoreFailure } from "../store/mod.ts";
import { awaitAnswer, readBody } from "./http_basics.ts";

/** A running stand-in for the platform's store. */
export interface StoreStandin {
  /** IP address and port that it listens on. */
  readonly address: string;
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Header with the number of times that the store was restored from an older copy. */
const ERA_HEADER = "store-era";

/** The store whose contents a stand-in serves. */
export type ServedStore = RevisionedStore & {
  /** Number of restores from an older copy; 0: answers carry no era. */
  readonly era: number;
};

/** Keys of operators and servers, which the system must not write. */
const FOREIGN_KEY = /^(op|servers)\//;

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

interface TransactionBody {
  readonly precondition: readonly {
    readonly key: string;
    readonly revision: number;
  }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease: number;
  }[];
  readonly remove: readonly string[];
}

/**
 * Serves a store through the platform's HTTP interface, so that the client can be
 * tested without the platform. Transactions may have one key only; the project sends
 * no others.
 *
 * @param store Store that is served.
 * @param port Port on 127.0.0.1; 0 picks a free one. Default: 0.
 */
export async function startStoreStandin(
  store: ServedStore,
  port = 0,
): Promise<StoreStandin> {
  const server: Server = createServer((request, response) => {
    void awaitAnswer(response, answerRequest(store, request, response));
  });
  server.listen(port, "127.0.0.1");
  await once(server, "listening");
  const { port: boundPort } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${boundPort}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function answerRequest(
  store: ServedStore,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const text = (await readBody(request)).toString("utf8");
  const { status, body } = await handleCall(store, request, text);
  response.writeHead(status, {
    "content-type": "application/json",
    ...(store.era === 0 ? {} : { [ERA_HEADER]: String(store.era) }),
  });
  response.end(JSON.stringify(body));
}

async function handleCall(
  store: ServedStore,
  request: IncomingMessage,
  text: string,
): Promise<Answer> {
  const url = new URL(request.url ?? "/", "http://store");
  const query = url.searchParams;
  const [, , call, id] = url.pathname.split("/");
  const leaseId = id ?? "";
  switch (call) {
    case "kv-key": {
      const key = query.get("key") ?? "";
      return toAnswer(
        await store.read(key),
        (entry) =>
          entry === undefined
            ? { status: 404, body: {} }
            : { status: 200, body: toItem(entry) },
      );
    }
    case "kv-range": {
      const prefix = query.get("prefix") ?? "";
      return toAnswer(await store.readSnapshot(prefix), (snapshot) => ({
        status: 200,
        body: toPage(snapshot, query.get("after") ?? ""),
      }));
    }
    case "kv-watch": {
      const wanted = {
        prefix: query.get("prefix") ?? "",
        afterRevision: Number(query.get("after")),
        waitMs: Number(query.get("waitMs")),
      };
      return toAnswer(
        await store.awaitChanges(wanted),
        (changes) =>
          changes.kind === "compacted" ? { status: 410, body: {} } : {
            status: 200,
            body: {
              events: changes.events.map(toEvent),
              atRevision: changes.revision,
            },
          },
      );
    }
    case "kv-txn":
      return await runTransaction(store, JSON.parse(text) as TransactionBody);
    case "kv-lease": {
      const { ttlMs } = JSON.parse(text) as { readonly ttlMs: number };
      return toAnswer(await store.grantLease(ttlMs), (lease) => ({
        status: 200,
        body: { lease: Number(lease), ttlMs },
      }));
    }
    case "kv-keep":
      return toAnswer(await store.renewLease(leaseId), (isKept) => ({
        status: isKept ? 200 : 404,
        body: {},
      }));
    case "kv-lease-end":
      return toAnswer(await store.revokeLease(leaseId), () => ({
        status: 200,
        body: {},
      }));
    default:
      return { status: 404, body: {} };
  }
}

async function runTransaction(
  store: ServedStore,
  { precondition, puts, remove }: TransactionBody,
): Promise<Answer> {
  const [put] = puts;
  const key = put?.key ?? remove[0] ?? "";
  if (FOREIGN_KEY.test(key)) {
    return { status: 403, body: { error: `"${key}" is not writable` } };
  }
  const swapped = await store.swap({
    key,
    expectedRevision: precondition[0]?.revision ?? 0,
    value: put && Buffer.from(put.value, "base64").toString("utf8"),
    ...(put !== undefined && put.lease > 0
      ? { leaseId: String(put.lease) }
      : {}),
  });
  return toAnswer(
    swapped,
    (outcome) =>
      outcome.kind === "conflict"
        ? { status: 412, body: { items: [] } }
        : { status: 200, body: { revision: outcome.revision } },
  );
}

function toAnswer<T>(
  result: Result<T, StoreFailure>,
  describe: (value: T) => Answer,
): Answer {
  if (result.isOk()) return describe(result.value);
  return { status: 503, body: { error: result.error.message } };
}

/** Items per page. The number is small so that tests read several pages. */
const PAGE_ITEMS = 3;

function toPage(
  snapshot: { readonly entries: readonly Item[]; readonly revision: number },
  after: string,
) {
  const remaining = snapshot.entries.filter(({ key }) => key > after);
  return {
    items: remaining.slice(0, PAGE_ITEMS).map(toItem),
    hasMore: remaining.length > PAGE_ITEMS,
    atRevision: snapshot.revision,
  };
}

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

function toItem({ key, revision, value }: Item) {
  return { key, revision, value: Buffer.from(value).toString("base64") };
}

function toEvent(
  event: {
    readonly key: string;
    readonly value: string | undefined;
    readonly revision: number;
  },
) {
  const { key, revision, value } = event;
  return value === undefined
    ? { key, revision, tombstone: true }
    : toItem({ key, revision, value });
}
