import {
  type BatchHead,
  type BatchItem,
  BatchStore,
  type ItemOutcome,
  runPack,
  toClaimKey,
} from "../batches/mod.ts";
import { createToken } from "../clock/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import { readBatchRegions } from "../filters/batch_api.ts";
import type { GatewayRequest, Reply } from "../filters/exchange.ts";
import { type Incarnation, toChangeId } from "../ids/mod.ts";
import { LEASE_TERMS } from "../leases/mod.ts";
import { type Membership, rankNames } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import { createFailure, readRow, toErrorBody } from "../results/mod.ts";
import { BATCH_WORKERS } from "../routing/mod.ts";
import type { GuardedStore } from "../store/mod.ts";

/** Parts of an instance that {@linkcode createWorkBatches} uses. */
export interface WorkBatchesGateway {
  readonly parts: Pick<GatewayParts, "clock" | "metrics" | "random" | "self">;
  readonly configuration: ConfigurationState;
  handleForTeam(
    name: string,
    request: Omit<GatewayRequest, "readBody"> & { readonly body: Buffer },
  ): Promise<Reply>;
  readonly incarnation: Incarnation;
  readonly isReady: boolean;
  readonly membership: Membership;
  readonly store: GuardedStore;
}

/** Maximum number of packs that one instance works on at once. */
const MAX_ACTIVE_PACKS = 3;
/** Average interval between two reads of the batch list while no batch is open. */
const IDLE_LIST_INTERVAL_MS = 4_000;
/** How long answers are retained after the end of a batch: 7 days. */
const RETENTION_MS = 7 * 86_400_000;
/** Average interval at which each worker removes expired batches. */
const REMOVAL_INTERVAL_MS = 3_600_000;
const ITEM_DEADLINE_MS = 60_000;

/**
 * Returns the controller that works on batches. It claims packs under a lease of its
 * own, so that another instance takes them over when this one dies.
 *
 * @param gateway Instance that the controller runs in.
 * @param signal Ends the work.
 */
export function createWorkBatches(
  gateway: WorkBatchesGateway,
  signal: AbortSignal,
): () => Promise<void> {
  const { clock, random, self } = gateway.parts;
  const store = new BatchStore(
    gateway.store,
    () => toChangeId(createToken(random)),
  );
  const activePacks = new Set<string>();
  let nextListMs = 0;
  let nextRemovalMs = clock.nowMs() + REMOVAL_INTERVAL_MS * random.nextFloat();
  const removeEnded = async () => {
    if (clock.nowMs() < nextRemovalMs) return;
    nextRemovalMs = clock.nowMs() +
      REMOVAL_INTERVAL_MS * (0.5 + random.nextFloat());
    await store.removeEnded(clock.nowMs() - RETENTION_MS);
  };
  let lease: { readonly id: string; readonly renewedMs: number } | undefined;

  const ensureLease = async (): Promise<boolean> => {
    const askedMs = clock.elapsedMs();
    const options = { callClass: "lease" } as const;
    if (lease !== undefined) {
      const renewed = await gateway.store.renewLease(lease.id, options);
      if (renewed.isOk()) {
        lease = renewed.value
          ? { id: lease.id, renewedMs: askedMs }
          : undefined;
      }
      const isHeld = lease !== undefined &&
        askedMs < lease.renewedMs + LEASE_TERMS.ttlMs - LEASE_TERMS.marginMs;
      return isHeld;
    }
    const granted = await gateway.store.grantLease(LEASE_TERMS.ttlMs, options);
    if (granted.isErr()) return false;
    lease = { id: granted.value, renewedMs: askedMs };
    return true;
  };

  const claimPack = async (
    id: string,
    pack: number,
  ): Promise<number | undefined> => {
    if (lease === undefined) return undefined;
    const swapped = await gateway.store.swap({
      key: toClaimKey(id, pack),
      expectedRevision: 0,
      value: JSON.stringify({ holder: gateway.incarnation }),
      leaseId: lease.id,
    }, { callClass: "batch" });
    if (swapped.isErr() || swapped.value.kind === "conflict") return undefined;
    return swapped.value.revision;
  };

  const workOn = async (head: BatchHead, pack: number) => {
    const key = `${head.id}/${pack}`;
    activePacks.add(key);
    const claimRevision = await claimPack(head.id, pack);
    if (claimRevision !== undefined) {
      await runClaimedPack(gateway, store, { head, pack, signal });
      await gateway.store.swap({
        key: toClaimKey(head.id, pack),
        expectedRevision: claimRevision,
        value: undefined,
      }, { callClass: "batch" });
    }
    activePacks.delete(key);
  };

  return async () => {
    const live = gateway.membership.liveIds;
    const isWorker = rankNames("batches", live).slice(0, BATCH_WORKERS)
      .includes(self.id);
    if (!isWorker || !gateway.isReady || activePacks.size >= MAX_ACTIVE_PACKS) {
      if (activePacks.size > 0) await ensureLease();
      return;
    }
    await removeEnded();
    if (clock.nowMs() < nextListMs && activePacks.size === 0) return;
    const open = await store.listOpen();
    if (open.isErr() || open.value.length === 0) {
      // Without open batches the list is read less often, at a random time for each worker.
      nextListMs = clock.nowMs() +
        IDLE_LIST_INTERVAL_MS * (0.5 + random.nextFloat());
      return;
    }
    if (!await ensureLease()) return;
    for (const id of open.value) {
      const head = await store.readHead(id);
      if (head.isErr()) return;
      if (head.value === undefined || head.value.state !== "open") {
        const hasHead = head.value !== undefined;
        if (hasHead) await store.removeOpenPointer(id);
        continue;
      }
      if (!isAllowedHere(gateway, head.value)) continue;
      const unfinished = await listUnfinished(store, head.value);
      if (unfinished === undefined) return;
      if (unfinished.length === 0) {
        await store.end(id, "done", clock.nowMs());
        continue;
      }
      const free = unfinished.filter((pack) =>
        !activePacks.has(`${id}/${pack}`)
      );
      const start = Math.floor(random.nextFloat() * free.length);
      [...free.slice(start), ...free.slice(0, start)]
        .slice(0, MAX_ACTIVE_PACKS - activePacks.size)
        .forEach((pack) => void workOn(head.value!, pack));
      if (activePacks.size >= MAX_ACTIVE_PACKS) return;
    }
  };
}

async function listUnfinished(
  store: BatchStore,
  head: BatchHead,
): Promise<readonly number[] | undefined> {
  const counts = await store.countAnswers(head.id);
  if (counts.isErr()) return undefined;
  return head.packSizes.map((_, pack) => pack)
    .filter((pack) => (counts.value.get(pack) ?? 0) < head.packSizes[pack]!);
}

async function runClaimedPack(
  gateway: WorkBatchesGateway,
  store: BatchStore,
  work: {
    readonly head: BatchHead;
    readonly pack: number;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { head, pack, signal } = work;
  const items = await store.readPack(head.id, pack);
  const answers = await store.readAnswers(head.id, pack);
  if (items.isErr() || answers.isErr()) return;
  const offset = head.packSizes.slice(0, pack).reduce(
    (sum, size) => sum + size,
    0,
  );
  const { clock, metrics } = gateway.parts;
  await runPack({
    clock,
    signal,
    canStart: () => !gateway.membership.isLeaving,
    runItem: (item, position) =>
      runItem(gateway, head, { item, position, signal }),
    save: async (added) => {
      metrics.count("batch.items_done", Object.keys(added).length);
      const latest = await store.readHead(head.id);
      if (latest.isOk() && latest.value?.state === "cancelled") return false;
      return (await store.writeAnswers(head.id, pack, added)).isOk();
    },
  }, { items: items.value, offset, answers: answers.value, dueMs: head.dueMs });
}

async function runItem(
  gateway: WorkBatchesGateway,
  head: BatchHead,
  work: {
    readonly item: BatchItem;
    readonly position: number;
    readonly signal: AbortSignal;
  },
): Promise<ItemOutcome> {
  const { item, position, signal } = work;
  const remainingMs = Math.max(
    1,
    Math.floor(head.dueMs - gateway.parts.clock.nowMs()),
  );
  const reply = await gateway.handleForTeam(head.team, {
    method: item.method,
    path: item.url,
    query: "",
    body: Buffer.from(JSON.stringify({ ...item.body, stream: false })),
    headers: {
      "content-type": "application/json",
      "x-priority": "batch",
      "x-deadline-ms": String(Math.min(ITEM_DEADLINE_MS, remainingMs)),
      ...(item.non_idempotent
        ? {
          "x-non-idempotent": "true",
          "idempotency-key": `batch ${head.id} ${position}`,
        }
        : {}),
    },
    signal,
  });
  if (reply.kind === "events") return { status: 500, code: 0, body: null };
  if (reply.mayBeCut === true) return createCutOutcome();
  const text = Buffer.from(reply.body).toString("utf8");
  const code = Number(reply.headers["x-result-code"] ?? "0");
  return { status: reply.status, code, body: parseBody(text) };
}

/** Returns the outcome of an item whose answer may have been cut, which a batch cannot tell its caller. */
function createCutOutcome(): ItemOutcome {
  const failure = createFailure(
    "BACKEND_FAILED",
    "The server did not tell the end of its answer",
  );
  const { code, status } = readRow(failure);
  return { status, code, body: toErrorBody(failure) };
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/**
 * Returns whether this region may process the batch: the items pass through the region
 * that works on them.
 */
function isAllowedHere(gateway: WorkBatchesGateway, head: BatchHead): boolean {
  const { view } = gateway.configuration;
  const allowed = readBatchRegions(view, head.team, head.services);
  return allowed === undefined || allowed.has(gateway.parts.self.region);
}
