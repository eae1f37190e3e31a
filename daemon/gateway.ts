import { setMaxListeners } from "node:events";
import { err, ok, type Result } from "neverthrow";
import { TeamLimits } from "../admission/mod.ts";
import { createToken } from "../clock/mod.ts";
import {
  ConfigurationController,
  ConfigurationState,
} from "../configuration/mod.ts";
import {
  type Incarnation,
  type TeamId,
  toIncarnation,
  toRequestId,
} from "../ids/mod.ts";
import { ShardedJournal } from "../run_journal/mod.ts";
import type { CallFingerprint } from "../ids/mod.ts";
import { type Heartbeat, Membership, rankNames } from "../membership/mod.ts";
import { createFailure, type Failure, readRow } from "../results/mod.ts";
import { RetryBudget } from "../retry/mod.ts";
import { type BackendServer, toPoolKey } from "../resources/mod.ts";
import {
  CreditBalance,
  CreditLedger,
  pickSubset,
  ServicePool,
} from "../routing/mod.ts";
import { GuardedStore, StoreBudget } from "../store/mod.ts";
import { ATTEMPT_ID_HEADER, type PlacementStatus } from "../engine/mod.ts";
import { LimitBorrower } from "../controllers/limit_borrower.ts";
import { UsageMeter } from "../usage/mod.ts";
import type {
  Exchange,
  GatewayRequest,
  Origin,
  Reply,
} from "../filters/mod.ts";
import { runAtReplyEnd, toRefusal } from "../filters/mod.ts";
import { QuarantineGuard } from "../forwarding/mod.ts";
import type { CallQuarantine, CrashReport } from "../quarantine/mod.ts";
import type { PeerHandlers, PeerMethod, PeerMethods } from "../peers/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import { CrashGossip } from "./crash_gossip.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import { createRoutes, type Routes } from "./routes.ts";
import { startControllers } from "./start_controllers.ts";
import { pullFromPeers, pushToRegion } from "./spread_configuration.ts";

/** Maximum number of requests in the queue of a service at one instance. */
const MAX_QUEUE_LENGTH = 2_000;
/** Interval between checks for requests in flight during a shutdown, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 20;

/**
 * One instance of the embedded deployment, without its sockets. Requests, calls of peers
 * and heartbeats are passed to its methods; everything that it sends goes through its ports.
 */
export class Gateway {
  /** Ports and settings. */
  readonly parts: GatewayParts;
  /** Id of this start of the instance. */
  readonly incarnation: Incarnation;
  /** Configuration in force here. */
  readonly configuration = new ConfigurationState();
  /** Other instances, as known from heartbeats and the store. */
  readonly membership: Membership;
  /** Store, guarded by a circuit breaker and a call budget. */
  readonly store: GuardedStore;
  /** Budget of store calls. */
  readonly budget: StoreBudget;
  /** Journal of non-idempotent runs. */
  readonly journal: ShardedJournal;
  /** Limits of teams. */
  readonly limits: TeamLimits;
  /** Borrows parts of team limits from other instances. */
  readonly borrower = new LimitBorrower(this);
  /** Credits granted to other regions. */
  readonly ledger = new CreditLedger();
  /** Budget of retries. */
  readonly retries = new RetryBudget();
  /** Quarantine of calls that crash servers. */
  readonly quarantine: CallQuarantine;
  readonly #crashGossip: CrashGossip;
  /** Usage of teams since the start of this instance. */
  readonly usage = new UsageMeter();
  /** Returns the progress of the region's placements, if this instance holds their lease. */
  readPlacements: () => readonly PlacementStatus[] = () => [];
  /** Keeps the configuration up to date. */
  readonly controller: ConfigurationController;
  readonly #pools = new Map<string, ServicePool>();
  readonly #purses = new Map<string, CreditBalance>();
  readonly #handlers: PeerHandlers;
  readonly #routes: Routes;
  #inFlight = 0;
  #lastChange: Promise<unknown> = Promise.resolve();

  /** @param parts Ports and settings. */
  constructor(parts: GatewayParts) {
    const { clock, options, random, self } = parts;
    const startedMs = Math.round(clock.nowMs());
    this.parts = parts;
    this.incarnation = toIncarnation(`${self.id}:${startedMs}`);
    this.membership = new Membership({ self, incarnation: startedMs, random });
    this.budget = new StoreBudget(options.storeCallsPerSecond, clock.nowMs());
    this.store = new GuardedStore({
      store: parts.store,
      clock,
      random,
      budget: this.budget,
    }, {
      onCircuit: (state) => {
        parts.logger.warn("store circuit", { state });
        parts.metrics.gauge("store.circuit", state === "closed" ? 0 : 1);
      },
    });
    this.journal = this.#createJournal();
    this.limits = new TeamLimits({
      startedMs: clock.nowMs(),
      readBaseShare: (team) => this.#readBaseShare(team),
      isJoining: () =>
        this.membership.members.some(({ incarnation, status }) =>
          status === "live" && incarnation < startedMs - JOIN_MARGIN_MS
        ),
    });
    this.controller = new ConfigurationController({
      state: this.configuration,
      store: this.store,
      clock,
      isWatcher: () => this.membership.isObserver,
      isRelay: () => this.membership.isFirstObserver,
      push: (entries) => pushToRegion(this, entries),
      pull: (after) => pullFromPeers(this, after),
      readNewestSequence: () => this.membership.newestConfiguration,
      report: (message) => parts.logger.warn(message),
    });
    this.quarantine = new QuarantineGuard({
      logger: parts.logger,
      metrics: parts.metrics,
      rankSelf: (call) => this.#rankSelf(call),
    }).quarantine;
    this.#crashGossip = new CrashGossip(this.quarantine);
    this.configuration.subscribe(() => this.#applyCatalog());
    this.#handlers = createPeerHandlers(this);
    this.#routes = createRoutes(this);
  }

  /** Number of requests being served. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Whether callers may be directed to this instance. */
  get isReady(): boolean {
    return this.configuration.isLoaded && !this.membership.isLeaving;
  }

  /** Pools of the services that this instance knows. */
  get pools(): ReadonlyMap<string, ServicePool> {
    return this.#pools;
  }

  /**
   * Starts the controllers.
   *
   * @param signal Stops them when it aborts.
   */
  start(signal: AbortSignal): void {
    // Each controller and each of its timers adds a listener to the signal.
    setMaxListeners(0, signal);
    startControllers(this, signal);
    this.controller.start(signal);
  }

  /**
   * Serves one request.
   *
   * @param request Received request.
   * @returns Reply to send; a refusal is a reply too.
   */
  async handle(request: GatewayRequest): Promise<Reply> {
    const origin = this.#readOrigin(request);
    const isPeer = origin.kind === "peer";
    const sanitized = isPeer ? request : removeForwardHeaders(request);
    const exchange = this.#createExchange(sanitized, origin);
    return await this.#serve(exchange, (each) => this.#routes.handle(each));
  }

  /**
   * Serves one item of a batch.
   *
   * @param name Name of the team that submitted the batch.
   * @param request Call of the item.
   * @returns Reply to store; a refusal is a reply too.
   */
  async handleForTeam(
    name: string,
    request: Omit<GatewayRequest, "readBody"> & { readonly body: Buffer },
  ): Promise<Reply> {
    const readBody = () => Promise.resolve(ok<Buffer, Failure>(request.body));
    const exchange = this.#createExchange({ ...request, readBody }, {
      kind: "caller",
    });
    const team = this.configuration.view.teams.get(name);
    return await this.#serve(exchange, async (each) => {
      if (team === undefined) {
        return err(createFailure("FORBIDDEN", `No team "${name}" exists`));
      }
      each.team = team;
      return await this.#routes.handleBatchItem(each);
    });
  }

  /** Returns whether an `authorization` header contains the token that instances share. */
  isPeerToken(header: string | undefined): boolean {
    return this.#routes.isPeerToken(header);
  }

  /** Handles a JSON-RPC call of a peer. */
  async handlePeerCall<Method extends PeerMethod>(
    method: Method,
    params: PeerMethods[Method]["params"],
  ): Promise<PeerMethods[Method]["result"]> {
    return await this.#handlers[method](params);
  }

  /** Returns the place of this instance in the order in which instances try a quarantined call. */
  #rankSelf(call: CallFingerprint): number {
    const { self } = this.parts;
    const names = new Set([self.id, ...this.membership.liveIds]);
    return rankNames(call, [...names]).indexOf(self.id);
  }

  /** Returns the crash reports for the heartbeats of one tick, by whether they go to another region. */
  takeCrashReports(): (isRemote: boolean) => readonly CrashReport[] {
    const nowMs = this.parts.clock.nowMs();
    this.#crashGossip.gatherOwn(nowMs);
    const localReports = this.#crashGossip.takeForReport("local", nowMs);
    return (isRemote) =>
      isRemote ? this.#crashGossip.listForAnswer(nowMs) : localReports;
  }

  /** Applies a heartbeat of a peer, and sends the answers. */
  receiveHeartbeat(heartbeat: Heartbeat): void {
    const { crashReports = [] } = heartbeat;
    this.#crashGossip.mergeReports(crashReports, this.parts.clock.nowMs(), [
      "local",
    ]);
    const answers = this.membership.applyHeartbeat(
      heartbeat,
      this.parts.clock.nowMs(),
    );
    answers.forEach(({ to, heartbeat: answer }) =>
      this.parts.peers.send(to, answer)
    );
  }

  /**
   * Shuts down gracefully: reports this to peers at once, refuses new requests with a list
   * of other entries, and resolves when no request is in flight.
   *
   * @param signal Ends the wait when it aborts.
   */
  async leave(signal: AbortSignal): Promise<void> {
    this.membership.markLeaving();
    this.membership.createBroadcast(this.configuration.sequence)
      .forEach(({ to, heartbeat }) => this.parts.peers.send(to, heartbeat));
    this.parts.logger.info("leaving", { inFlight: this.#inFlight });
    await new Promise<void>((resolve) => {
      const check = () => {
        if (this.#inFlight === 0 || signal.aborted) return resolve();
        this.parts.clock.schedule(DRAIN_CHECK_INTERVAL_MS, check);
      };
      check();
    });
  }

  /** Returns the pool of a service in the own region, and creates it at the first use. */
  readPool(service: string): ServicePool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const { clock, random } = this.parts;
    const pool = new ServicePool({
      clock,
      random,
      countDispatchers: () => this.#countSenders(service),
      readWeights: () => this.#readWeights(service),
      policies: this.parts.policies,
    }, { maxLength: MAX_QUEUE_LENGTH });
    this.#pools.set(service, pool);
    pool.applyServers(this.#pickServers(service));
    return pool;
  }

  /** Runs changes of the configuration one after the other, so that those made here don't race. */
  runSerially<T>(run: () => Promise<T>): Promise<T> {
    const change = this.#lastChange.then(run);
    this.#lastChange = change.catch(() => {});
    return change;
  }

  /** Applies the current servers to all pools, after a change of servers or members. */
  refreshPools(): void {
    this.#pools.forEach((pool, service) => {
      pool.applyServers(this.#pickServers(service));
      pool.queue.wake();
    });
  }

  /** Returns the credits that other regions have granted for a service. */
  readPurse(service: string): CreditBalance {
    const known = this.#purses.get(service);
    if (known !== undefined) return known;
    const purse = new CreditBalance();
    this.#purses.set(service, purse);
    return purse;
  }

  /** Records the tokens that a request has used. */
  recordUsage(exchange: Exchange, tokens: number): void {
    const { team, origin } = exchange;
    // A forwarded request is counted only by the instance that its caller sent it to.
    if (team !== undefined && origin.kind === "caller") {
      this.usage.record(team.id, tokens);
    }
  }

  #createExchange(request: GatewayRequest, origin: Origin): LiveExchange {
    const peerRequestId = origin.kind === "peer"
      ? request.headers["x-request-id"]
      : undefined;
    const ended = new AbortController();
    return {
      request,
      requestId: toRequestId(peerRequestId ?? createToken(this.parts.random)),
      receivedMs: this.parts.clock.nowMs(),
      origin,
      ended: ended.signal,
      end: () => ended.abort("ended"),
      params: {},
    };
  }

  async #serve(exchange: LiveExchange, run: Handle): Promise<Reply> {
    const { clock, metrics } = this.parts;
    this.#inFlight++;
    metrics.gauge("request.in_flight", this.#inFlight);
    const result = runAtReplyEnd(await this.#runSafely(exchange, run), () => {
      this.#inFlight--;
      exchange.end();
      metrics.time("request.total_ms", clock.nowMs() - exchange.receivedMs);
    });
    return this.#toReply(exchange, result);
  }

  async #runSafely(
    exchange: Exchange,
    run: Handle,
  ): Promise<Result<Reply, Failure>> {
    try {
      return await run(exchange);
    } catch (error) {
      const message = error instanceof Error
        ? error.stack ?? error.message
        : String(error);
      this.parts.logger.error("internal error", {
        requestId: exchange.requestId,
        error: message,
      });
      return err(createFailure("INTERNAL", "An internal error occurred"));
    }
  }

  #toReply(exchange: Exchange, result: Result<Reply, Failure>): Reply {
    const { logger, metrics } = this.parts;
    const requestId = exchange.requestId;
    const service = exchange.call?.service ?? "none";
    if (result.isOk()) {
      metrics.count("request.count", 1, { service, result: "OK" });
      const headers = { ...result.value.headers, "x-request-id": requestId };
      return { ...result.value, headers };
    }
    const failure = result.error;
    metrics.count("request.count", 1, { service, result: failure.name });
    const { code } = readRow(failure);
    logger.debug("refused", { requestId, code, reason: failure.message });
    return toRefusal(failure, { "x-request-id": requestId });
  }

  #readOrigin(request: GatewayRequest): Origin {
    const from = request.headers["x-forwarded-from"];
    const isPeer = from !== undefined &&
      this.#routes.isPeerToken(request.headers["authorization"]);
    if (!isPeer) return { kind: "caller" };
    const attempt = request.headers[ATTEMPT_ID_HEADER] ?? "";
    return { kind: "peer", from: from as typeof this.parts.self.id, attempt };
  }

  #applyCatalog(): void {
    const { services, plainServices } = this.configuration.view;
    [...services.keys(), ...plainServices.keys()].forEach((service) =>
      this.readPool(service)
    );
    this.refreshPools();
    this.parts.metrics.gauge(
      "configuration.sequence",
      this.configuration.sequence,
    );
  }

  /** Returns the servers that this instance uses: all, or its subset of a large pool. */
  #pickServers(service: string): readonly BackendServer[] {
    const { self } = this.parts;
    const all =
      this.configuration.view.backends.get(toPoolKey(service, self.region)) ??
        [];
    if (all.length <= SUBSET_SIZE) return all;
    const picked = new Set<string>(pickSubset(all.map(({ id }) => id), {
      daemons: [
        self.id,
        ...this.membership.members.map(({ record }) => record.id),
      ],
      self: self.id,
      size: SUBSET_SIZE,
    }));
    return all.filter(({ id }) => picked.has(id));
  }

  /** Estimates how many instances of the region send to the same engine, given their subsets. */
  #countSenders(service: string): number {
    const live = Math.max(1, this.membership.liveIds.length);
    const { region } = this.parts.self;
    const all = this.configuration.view.backends.get(toPoolKey(service, region))
      ?.length ?? 0;
    return all <= SUBSET_SIZE ? live : Math.max(1, live * SUBSET_SIZE / all);
  }

  #readWeights(service: string): ServicePoolWeights {
    const spec = this.configuration.view.services.get(service)?.spec;
    if (spec === undefined) return { latency: 1, cost: 0, firstTokenMs: 1_000 };
    return { ...spec.weights, firstTokenMs: spec.firstTokenMs };
  }

  /** Returns this instance's base share of a team's limit: a few instances hold it, and the others borrow from them. */
  #readBaseShare(team: TeamId): number {
    const holders = this.readLimitHolders(team);
    return holders.includes(this.parts.self.id) ? 1 / holders.length : 0;
  }

  /** Returns the instances that hold the base shares of a team's limit. */
  readLimitHolders(team: TeamId): readonly string[] {
    const ids = [
      this.parts.self.id,
      ...this.membership.listedInstances.map(({ id }) => id),
    ];
    return rankNames(`limit ${team}`, ids).slice(0, LIMIT_HOLDER_COUNT);
  }

  #createJournal(): ShardedJournal {
    const { clock, options, peers, random, self } = this.parts;
    const store = this.store;
    const isDead = (holder: Incarnation) => this.isDead(holder);
    const readRecord = (id: typeof self.id) => this.membership.readRecord(id);
    return new ShardedJournal({
      store,
      clock,
      random,
      self: self.id,
      listCandidates: (region) =>
        [self, ...this.membership.listedInstances]
          .filter((record) => region === undefined || record.region === region)
          .map(({ id }) => id),
      isDead,
      beginAt: async (to, run) => {
        const record = readRecord(to);
        const answer = record &&
          await peers.call(record, "journal.begin", { run });
        if (answer === undefined || answer.isErr()) return undefined;
        return answer.value.kind === "ok"
          ? ok(answer.value.value)
          : err(answer.value.failure);
      },
      finishAt: async (to, end) => {
        const record = readRecord(to);
        return record !== undefined &&
          (await peers.call(record, "journal.finish", end)).isOk();
      },
    }, {
      shards: options.journalShards,
      retentionMs: options.journalRetentionMs,
      gatherMs: options.journalGatherMs,
    });
  }

  /** Returns whether the instance of a holder is known to have restarted since. */
  isDead(holder: Incarnation): boolean {
    const [id, startedText] = holder.split(":");
    const started = Number(startedText);
    if (id === this.parts.self.id) return holder !== this.incarnation;
    const member = this.membership.members.find(({ record }) =>
      record.id === id
    );
    return member !== undefined && member.status === "live" &&
      member.incarnation > started + RESTART_MARGIN_MS;
  }
}

type Handle = (exchange: Exchange) => Promise<Result<Reply, Failure>>;

/** Exchange with a function that ends its timers. */
interface LiveExchange extends Exchange {
  readonly end: () => void;
}

type ServicePoolWeights = ReturnType<
  ConstructorParameters<typeof ServicePool>[0]["readWeights"]
>;

/** Instances that started at most this long before this one count as started together with it, in milliseconds. */
const JOIN_MARGIN_MS = 10_000;
/** Maximum number of servers of a pool that one instance uses. */
const SUBSET_SIZE = 64;
/** Number of instances that hold base shares of a team's limit. */
const LIMIT_HOLDER_COUNT = 9;
/** Margin below which a higher incarnation is no restart, in milliseconds: each refuted report of a failure adds 1 as well. */
const RESTART_MARGIN_MS = 1_000;

function removeForwardHeaders(request: GatewayRequest): GatewayRequest {
  const kept = Object.entries(request.headers).filter(([name]) =>
    !name.startsWith("x-forwarded-") && name !== ATTEMPT_ID_HEADER
  );
  return { ...request, headers: Object.fromEntries(kept) };
}
