import { type Clock, type Random, waitFor } from "../clock/mod.ts";
import { runCrowd } from "./crowd.ts";
import { sendCrashingCalls } from "./crashing_calls.ts";
import {
  type Fault,
  formatFault,
  type PlannedFault,
  type StandstillChange,
} from "./fault.ts";
import type { QuietPlan } from "./plan.ts";
import type { ServerLinksState } from "../standin/server_links.ts";
import type {
  AbandonedCall,
  CutOff,
  Departure,
  InstancePause,
  InstanceStop,
  ObservedCall,
  ObservedRollout,
  ServerAdvertisement,
  ServerDisturbance,
  ServerSilence,
} from "./observation.ts";
import type { RecordedBadAnswer } from "../standin/recording_server.ts";
import { SoakRollout } from "./soak_rollout.ts";
import type {
  ConfigurationChange,
  ServerSlot,
  SoakFleet,
  SoakInstance,
} from "./soak_fleet.ts";

/** Constructor arguments of {@linkcode FaultRunner}. */
export interface FaultParts {
  readonly fleet: SoakFleet;
  readonly clock: Clock;
  /** Source of call ids, and of the choice of instances that get crashing calls. */
  readonly random: Random;
  /** Called with a one-line description of each fault that is applied. */
  readonly print: (line: string) => void;
}

/**
 * Time without heartbeats of a server after which the platform removes its entry, in
 * milliseconds.
 */
const ENTRY_EXPIRY_MS = 3_000;
/**
 * Time after which an instance that was down or stalled has to keep all promises, in
 * milliseconds.
 */
const UNDISTURBED_AFTER_MS = 5_000;
/** Time after which the platform starts a process that has ended, in milliseconds. */
const RESTART_DELAY_MS = 300;
/** Latency of a slow store, in milliseconds. */
const SLOW_STORE_MS = 300;
/** How long the store is down before it is restored from a backup, in milliseconds. */
const RESTORE_DOWNTIME_MS = 800;
/** Interval at which an order waits for the restore of an older backup, in milliseconds. */
const BACKUP_POLL_MS = 100;
/** Calls per second that a server with a limit advertises: fewer than its callers send. */
const LIMIT_PER_SECOND = 2;

/** Rejections per second that a brittle server survives. */
const SURVIVED_REJECTIONS = 6;
/** Slots of a brittle server: fewer than its region has calls at a time. */
const BRITTLE_SLOTS = 2;
/** Time that instances have to learn of a brittle server, in milliseconds. */
const LEARNED_AFTER_MS = 1_500;

/** Limits on callers' connections that are tighter than usual. */
const TIGHT_LIMITS = { headerTimeoutMs: 500, idleTimeoutMs: 800 };
/** Timeout of routes that is shorter than usual, in milliseconds. */
const SHORT_TIMEOUT_MS = 3_500;
/** How long a configuration beside a standstill differs, in milliseconds. */
const CHANGE_MS = 700;
/** Grace period of the settings that differ, in seconds: longer than the usual one. */
const LONG_GRACE_S = 9;

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Applies and undoes planned faults, and records what the checks need to know of them. */
export class FaultRunner {
  /** When servers drained or their entries were overwritten. */
  readonly serverDepartures: Departure[] = [];
  /** When instances were down. */
  readonly instanceDepartures: Departure[] = [];
  /** Calls of crowds. */
  readonly abandonedCalls: AbandonedCall[] = [];
  /** Calls that crash the server that runs them. */
  readonly crashingCalls: ObservedCall[] = [];
  /** Spans in which a fault may keep some instance from meeting the bounds of the checks. */
  readonly disturbedSpans: Span[] = [];
  /** States that servers advertised in their answers. */
  readonly advertisements: ServerAdvertisement[] = [];
  /** When instances were cut off from all servers. */
  readonly cutOffs: CutOff[] = [];
  /** When each instance was stalled or down. */
  readonly pauses: InstancePause[] = [];
  /** When sound servers were silent. */
  readonly serverSilences: ServerSilence[] = [];
  /** When the store was restored from a backup. */
  readonly storeRestoresMs: number[] = [];
  readonly #serverDisturbances: ServerDisturbance[] = [];
  /** Slots whose servers an active fault may keep from answering. */
  readonly #unsoundSlots = new Set<unknown>();
  /** Whether the settings files have the longer grace period. */
  #hasLongGrace = false;
  readonly #rollouts: SoakRollout[] = [];
  /** Backups of the store that are still to be restored. */
  #backupCount = 0;
  readonly #stops: (Span & { readonly instance: string })[] = [];
  readonly #spans: (Span & { readonly planned: PlannedFault })[] = [];
  readonly #parts: FaultParts;
  /** Targets that an active fault disturbs. */
  readonly #busy = new Set<unknown>();

  /** @param parts Fleet, clock, source of random numbers and printer. */
  constructor(parts: FaultParts) {
    this.#parts = parts;
  }

  /** Returns the rollouts, and which of the bad answers belong to each. */
  listRollouts(
    badAnswers: readonly RecordedBadAnswer[],
  ): readonly ObservedRollout[] {
    return this.#rollouts.flatMap((rollout) => rollout.list(badAnswers));
  }

  /** Returns when faults may have kept servers from answering. */
  listServerDisturbances(): readonly ServerDisturbance[] {
    const crashes = this.#parts.fleet.listCrashes().map(({ atMs, id }) => ({
      server: id,
      fromMs: atMs,
      toMs: atMs,
    }));
    return [...this.#serverDisturbances, ...crashes];
  }

  /** Returns the graceful shutdowns, and whether each of them was undisturbed by other faults. */
  listStops(): readonly InstanceStop[] {
    return this.#stops.map(({ fromMs, instance, toMs }) => ({
      instance,
      atMs: fromMs,
      isUndisturbed: this.#listSpans().every((span) =>
        span.fromMs === fromMs || span.toMs < fromMs - ENTRY_EXPIRY_MS ||
        span.fromMs > toMs
      ),
    }));
  }

  /** Returns the spans of faults; for crashing calls, the crashes of servers instead. */
  #listSpans(): readonly Span[] {
    const faults = this.#spans.filter(({ planned: { fault } }) =>
      fault.kind !== "ending-calls" &&
      // Silence must end no call, whatever else happens.
      fault.kind !== "standstill" &&
      // A rollout of a good version must interrupt no call.
      (fault.kind !== "rollout" || fault.what === "bad")
    );
    const ends = this.#parts.fleet.serverCrashesMs.map((atMs) => ({
      fromMs: atMs,
      toMs: atMs,
    }));
    return [...faults, ...ends];
  }

  /**
   * Applies a fault now, unless its targets are disturbed already, and resolves when it is
   * undone.
   */
  async run(planned: PlannedFault): Promise<void> {
    const { clock, print } = this.#parts;
    const targets = this.#findTargets(planned.fault);
    // A target gets no second fault until the first one is undone.
    if (targets.some((target) => this.#busy.has(target))) return;
    targets.forEach((target) => this.#busy.add(target));
    print(formatFault(planned));
    const fromMs = clock.nowMs();
    const slot = this.#findSlot(planned.fault);
    const server = slot?.server.id;
    const isUnsound = slot !== undefined && endsCalls(planned.fault);
    if (isUnsound) this.#unsoundSlots.add(slot);
    await this.#apply(planned.fault, planned.durationMs);
    const toMs = clock.nowMs();
    this.#spans.push({ planned, fromMs, toMs });
    if (slot !== undefined && server !== undefined) {
      const { fault } = planned;
      const span = { server, fromMs, toMs };
      if (isUnsound) this.#serverDisturbances.push(span);
      else if (fault.kind === "link") this.#recordSilence(slot, span);
      this.#unsoundSlots.delete(slot);
    }
    targets.forEach((target) => this.#busy.delete(target));
  }

  /** Returns the slot whose server a fault disturbs; `undefined`: no single one. */
  #findSlot(fault: Fault): ServerSlot | undefined {
    const isOfServer = fault.kind === "server" ||
      fault.kind === "link" && fault.to === "server";
    return isOfServer ? this.#parts.fleet.slots[fault.index] : undefined;
  }

  #recordSilence({ region }: ServerSlot, span: ServerDisturbance): void {
    const instances = this.#parts.fleet.instances
      .filter((instance) => instance.region === region)
      .map(({ process: { name } }) => name);
    this.serverSilences.push({ ...span, instances });
  }

  /** Runs the faults that come after all others; their times count from now. */
  async runQuiet({ hasFullServers, standstills }: QuietPlan): Promise<void> {
    const { fleet } = this.#parts;
    if (hasFullServers) await fleet.fillServers();
    await Promise.all(standstills.map(async (planned) => {
      await this.#wait(planned.atMs);
      await this.run(planned);
    }));
    if (hasFullServers) await fleet.emptyServers();
  }

  #findTargets(fault: Fault): readonly unknown[] {
    const { homeInstances, instances, slots, store } = this.#parts.fleet;
    switch (fault.kind) {
      case "instance":
      case "crowd":
        return [instances[fault.index]];
      case "homes":
        return homeInstances;
      case "cut-off":
        return fault.indices.map((index) => instances[index]);
      case "ending-calls":
        return [`calls of kind ${fault.what}`];
      case "link":
        return [
          fault.to === "store"
            ? instances[fault.index]!.storeLink
            : slots[fault.index],
        ];
      case "server":
        return [slots[fault.index]];
      case "store":
        return fault.what === "restore"
          ? [store, "operator configure"]
          : [store];
      case "operator":
        return [`operator ${fault.what}`];
      case "standstill":
        return ["standstill"];
      case "rollout":
        return ["operator rollout"];
    }
  }

  #apply(fault: Fault, durationMs: number): Promise<void> {
    const { instances, slots } = this.#parts.fleet;
    switch (fault.kind) {
      case "instance":
        return this.#disturbInstance(
          instances[fault.index]!,
          fault.what,
          durationMs,
        );
      case "crowd":
        return this.#sendCrowd(instances[fault.index]!, durationMs);
      case "homes":
        return this.#stopHomes(durationMs);
      case "cut-off":
        return this.#cutOff(fault, durationMs);
      case "ending-calls":
        return this.#sendCrashingCalls(fault.what, durationMs);
      case "link":
        return this.#disturbLink(fault, durationMs);
      case "server":
        return this.#disturbServer(slots[fault.index]!, fault.what, durationMs);
      case "store":
        return this.#disturbStore(fault.what, durationMs);
      case "operator":
        return this.#applyOperatorChange(fault.what, durationMs);
      case "standstill":
        return this.#standStill(fault);
      case "rollout":
        return this.#rollOut(fault.what === "bad", durationMs);
    }
  }

  async #disturbInstance(
    { process }: SoakInstance,
    what: Extract<Fault, { kind: "instance" }>["what"],
    durationMs: number,
  ): Promise<void> {
    switch (what) {
      case "reload":
        return await this.#reload(process);
      case "pause":
        return await this.#pause(process, async () => {
          process.signal("SIGSTOP");
          await this.#wait(durationMs);
          process.signal("SIGCONT");
        });
      case "kill":
        return await this.#pause(process, async () => {
          process.signal("SIGKILL");
          await process.awaitExit();
          await this.#restart(process, durationMs);
        });
      case "stop": {
        const fromMs = this.#parts.clock.nowMs();
        process.signal("SIGTERM");
        await process.awaitExit();
        const toMs = this.#parts.clock.nowMs();
        this.#stops.push({ instance: process.name, fromMs, toMs });
        await this.#restart(process, durationMs);
        this.#recordPause(process, fromMs, true);
      }
    }
  }

  /**
   * Tells a process to reload its settings. One whose program does not run yet ends by that,
   * and is started again, as the platform does.
   */
  async #reload(process: SoakInstance["process"]): Promise<void> {
    const fromMs = this.#parts.clock.nowMs();
    if (await process.reload() || process.pid !== undefined) return;
    await this.#disturb(() => this.#restart(process, RESTART_DELAY_MS));
    this.#recordPause(process, fromMs);
  }

  async #stopHomes(durationMs: number): Promise<void> {
    await this.#disturb(async () => {
      await Promise.all(
        this.#parts.fleet.homeInstances.map((instance) =>
          this.#disturbInstance(instance, "stop", durationMs)
        ),
      );
    });
  }

  /** Cuts instances off from all servers, those that start meanwhile included. */
  async #cutOff(
    { indices, state }: Extract<Fault, { kind: "cut-off" }>,
    durationMs: number,
  ): Promise<void> {
    const { clock, fleet } = this.#parts;
    const processes = indices.map((index) => fleet.instances[index]!.process);
    const setState = async (next: ServerLinksState) =>
      new Set(
        (await Promise.all(
          processes.map((process) => process.setServerLinks(next)),
        )).flat(),
      );
    const fromMs = clock.nowMs();
    const ports = await setState(state);
    if (state === "hanging") fleet.links.forEach((link) => link.silence(ports));
    if (state === "reset") fleet.links.forEach((link) => link.reset(ports));
    await this.#wait(durationMs);
    this.cutOffs.push({
      instances: processes.map(({ name }) => name),
      fromMs,
      toMs: clock.nowMs(),
    });
    await setState("open");
    // What was dropped meanwhile cannot be sent afterwards.
    if (state === "hanging") fleet.links.forEach((link) => link.reset(ports));
  }

  /** Has sound servers stand still that no other fault disturbs, while something changes. */
  async #standStill(
    fault: Extract<Fault, { kind: "standstill" }>,
  ): Promise<void> {
    const { beside, offsetMs, slots: indices, stillMs } = fault;
    const { clock, fleet } = this.#parts;
    const haveServersStill = async () => {
      await this.#wait(Math.max(0, -offsetMs));
      const slots = indices.map((index) => fleet.slots[index]!)
        .filter((slot) => !this.#unsoundSlots.has(slot))
        // Another fault may replace the server of a slot in the meantime.
        .map((slot) => ({ ...slot }));
      const setStill = (isStill: boolean) =>
        slots.forEach(({ link, server }) => {
          link.setStill(isStill);
          server.setStill(isStill);
        });
      const fromMs = clock.nowMs();
      setStill(true);
      await this.#wait(stillMs);
      setStill(false);
      const toMs = clock.nowMs();
      slots.forEach((slot) =>
        this.#recordSilence(slot, { server: slot.server.id, fromMs, toMs })
      );
    };
    const change = async () => {
      await this.#wait(Math.max(0, offsetMs));
      await this.#changeBriefly(beside, fleet.instances[fault.index]!);
    };
    await Promise.all([haveServersStill(), change()]);
  }

  /** Changes something for a moment that ends no call. */
  async #changeBriefly(
    what: StandstillChange,
    instance: SoakInstance,
  ): Promise<void> {
    switch (what) {
      case "nothing":
        return;
      case "limits":
        return await this.#configureBriefly({ limits: TIGHT_LIMITS });
      case "timeouts":
        return await this.#configureBriefly({ timeoutMs: SHORT_TIMEOUT_MS });
      case "move":
        return await this.#configureBriefly({ otherService: "all" });
      case "weights":
        return await this.#configureBriefly({ otherService: "share" });
      case "routes":
        return await this.#configureBriefly({ additionalRoutes: 3 });
      case "settings":
        return this.#changeSettings();
      case "reload":
        this.#changeSettings();
        await Promise.all(
          this.#parts.fleet.instances.map((each) =>
            this.#disturbUnlessBusy(each, "reload")
          ),
        );
        return;
      case "stop":
        await this.#disturbUnlessBusy(instance, "stop");
    }
  }

  /** Stops or reloads an instance, unless another fault disturbs it and may start it again. */
  async #disturbUnlessBusy(
    instance: SoakInstance,
    what: "stop" | "reload",
  ): Promise<void> {
    if (this.#busy.has(instance)) return;
    this.#busy.add(instance);
    await this.#disturbInstance(instance, what, RESTART_DELAY_MS);
    this.#busy.delete(instance);
  }

  async #configureBriefly(change: ConfigurationChange): Promise<void> {
    const { fleet } = this.#parts;
    await fleet.configure(change);
    await this.#wait(CHANGE_MS);
    await fleet.configure();
  }

  /** Writes the settings files with another grace period than now. */
  #changeSettings(): void {
    const { closed, instances } = this.#parts.fleet;
    if (closed.aborted) return;
    this.#hasLongGrace = !this.#hasLongGrace;
    instances.forEach(({ process }) =>
      process.writeSettings(this.#hasLongGrace ? LONG_GRACE_S : undefined)
    );
  }

  async #sendCrowd(instance: SoakInstance, durationMs: number): Promise<void> {
    const { clock, fleet, random } = this.#parts;
    const { process } = instance;
    await this.#pause(process, async () => {
      process.signal("SIGSTOP");
      const abandonedCalls = await runCrowd(
        fleet.toCalledInstance(instance),
        {
          clock,
          random,
          stayMs: durationMs / 2,
        },
      );
      this.abandonedCalls.push(...abandonedCalls);
      await this.#wait(durationMs / 2);
      process.signal("SIGCONT");
    });
  }

  #sendCrashingCalls(
    kind: "ending" | "ending-part",
    durationMs: number,
  ): Promise<void> {
    return sendCrashingCalls({
      kind,
      ...this.#parts,
      listUndisturbed: () => this.#listUndisturbed(),
      record: (call) => this.crashingCalls.push(call),
    }, durationMs);
  }

  #listUndisturbed(): readonly SoakInstance[] {
    const { clock, fleet: { instances } } = this.#parts;
    const sinceMs = clock.nowMs() - UNDISTURBED_AFTER_MS;
    return instances.filter((instance) =>
      !this.#busy.has(instance) &&
      !this.pauses.some(({ instance: name, toMs }) =>
        name === instance.process.name && toMs > sinceMs
      )
    );
  }

  async #restart(
    process: SoakInstance["process"],
    afterMs: number,
  ): Promise<void> {
    const atMs = this.#parts.clock.nowMs();
    await this.#wait(afterMs);
    const untilMs = this.#parts.clock.nowMs();
    this.instanceDepartures.push({ id: process.host, atMs, untilMs });
    if (!this.#parts.fleet.closed.aborted) process.start();
  }

  async #disturbLink(
    { index, mode, to }: Extract<Fault, { kind: "link" }>,
    durationMs: number,
  ): Promise<void> {
    const { instances, slots } = this.#parts.fleet;
    const link = to === "store"
      ? instances[index]!.storeLink
      : slots[index]!.link;
    const disturb = async () => {
      link.setMode(mode);
      await this.#wait(durationMs);
      link.setMode("pass");
    };
    if (to === "store") await this.#disturb(disturb);
    else await disturb();
  }

  async #disturbServer(
    slot: ServerSlot,
    what: Extract<Fault, { kind: "server" }>["what"],
    durationMs: number,
  ): Promise<void> {
    const { clock, fleet } = this.#parts;
    const { server } = slot;
    switch (what) {
      case "drain": {
        server.advertisesLeaving = true;
        await fleet.register(slot, true);
        const atMs = clock.nowMs();
        this.serverDepartures.push({ id: server.id, atMs, untilMs: Infinity });
        await this.#wait(durationMs);
        // The drained server continues to serve for a while, beside its replacement.
        return await fleet.replaceServer(slot);
      }
      case "crash":
        server.crash();
        await this.#wait(ENTRY_EXPIRY_MS);
        await fleet.operator.unregister(server.id);
        return await fleet.replaceServer(slot);
      case "restart":
        return await fleet.restartServer(slot);
      case "overwrite": {
        await fleet.operator.overwriteWithInvalid(server.id);
        const atMs = clock.nowMs();
        await this.#wait(durationMs);
        const untilMs = clock.nowMs();
        this.serverDepartures.push({ id: server.id, atMs, untilMs });
        // A server that replaced this one in the meantime has registered itself.
        if (slot.server === server) await fleet.register(slot);
        return;
      }
      case "say-leaving": {
        server.advertisesLeaving = true;
        const fromMs = clock.nowMs();
        await this.#wait(durationMs);
        this.advertisements.push({
          server: server.id,
          kind: "leaving",
          fromMs,
          toMs: clock.nowMs(),
        });
        return await fleet.replaceServer(slot);
      }
      case "rest": {
        const fromMs = clock.nowMs();
        server.fault = what;
        await this.#wait(durationMs);
        server.fault = "none";
        const toMs = clock.nowMs();
        this.advertisements.push({
          server: server.id,
          kind: "rest",
          fromMs,
          toMs,
        });
        return;
      }
      case "limit": {
        const fromMs = clock.nowMs();
        server.limitPerSecond = LIMIT_PER_SECOND;
        await this.#wait(durationMs);
        server.limitPerSecond = undefined;
        this.advertisements.push({
          server: server.id,
          kind: "limit",
          perSecond: LIMIT_PER_SECOND,
          fromMs,
          toMs: clock.nowMs(),
        });
        return;
      }
      case "brittle":
        return await this.#makeBrittle(slot, durationMs);
      case "hang":
      case "fail":
      case "break-off":
      case "cut":
      case "stray":
        server.fault = what;
        await this.#wait(durationMs);
        server.fault = "none";
    }
  }

  /** Has a server say that it survives few rejections, and reject calls beyond its few slots later. */
  async #makeBrittle(slot: ServerSlot, durationMs: number): Promise<void> {
    const { clock, fleet } = this.#parts;
    const { server } = slot;
    const { slots } = server;
    server.survivedRejections = SURVIVED_REJECTIONS;
    server.slots = BRITTLE_SLOTS;
    await fleet.register(slot);
    await this.#wait(LEARNED_AFTER_MS);
    const fromMs = clock.nowMs();
    server.rejectsBeyondSlots = true;
    await this.#wait(durationMs - LEARNED_AFTER_MS);
    server.rejectsBeyondSlots = false;
    server.survivedRejections = undefined;
    server.slots = slots;
    this.advertisements.push({
      server: server.id,
      kind: "brittle",
      perSecond: SURVIVED_REJECTIONS,
      fromMs,
      toMs: clock.nowMs(),
    });
    // A server that replaced this one in the meantime has registered itself.
    if (slot.server === server) await fleet.register(slot);
  }

  async #disturbStore(
    what: Extract<Fault, { kind: "store" }>["what"],
    durationMs: number,
  ): Promise<void> {
    const { store } = this.#parts.fleet;
    switch (what) {
      case "restore":
        return await this.#restoreStore(durationMs);
      case "forget":
        store.compact();
        return;
      case "down":
        await this.#disturb(async () => {
          store.setDown(true);
          await this.#wait(durationMs);
          store.setDown(false);
        });
        return;
      case "slow":
        await this.#disturb(async () => {
          store.faults.latencyMs = SLOW_STORE_MS;
          await this.#wait(durationMs);
          store.faults.latencyMs = 0;
        });
    }
  }

  /**
   * Restores a backup that lacks a configuration, and writes the next one before the lost data
   * is written again.
   */
  async #restoreStore(durationMs: number): Promise<void> {
    const { fleet } = this.#parts;
    const { operator, store } = fleet;
    while (
      this.#rollouts.some(({ isOrdering }) => isOrdering) &&
      !fleet.closed.aborted
    ) {
      await this.#wait(BACKUP_POLL_MS);
    }
    const backup = store.createBackup();
    this.#backupCount++;
    await fleet.configure();
    await this.#wait(durationMs - RESTORE_DOWNTIME_MS);
    await this.#disturb(async () => {
      store.setDown(true);
      await this.#wait(RESTORE_DOWNTIME_MS);
      store.restoreBackup(backup);
      this.storeRestoresMs.push(this.#parts.clock.nowMs());
      store.setDown(false);
    });
    this.#backupCount--;
    await fleet.configure();
    await operator.rewriteAll();
  }

  /**
   * Orders a rollout, once no backup can be restored that would lack the order: the operator
   * would write it again, as another order.
   */
  async #rollOut(isBad: boolean, durationMs: number): Promise<void> {
    const { closed } = this.#parts.fleet;
    while (this.#backupCount > 0 && !closed.aborted) {
      await this.#wait(BACKUP_POLL_MS);
    }
    const rollout = new SoakRollout(this.#parts, { isBad, durationMs });
    this.#rollouts.push(rollout);
    await rollout.run();
  }

  async #applyOperatorChange(
    what: Extract<Fault, { kind: "operator" }>["what"],
    durationMs: number,
  ): Promise<void> {
    const { fleet } = this.#parts;
    if (what === "configure") return await fleet.configure();
    const { region } = fleet.instances[0]!;
    await fleet.operator.setEvacuated(region, true);
    await this.#wait(durationMs);
    await fleet.operator.setEvacuated(region, false);
  }

  async #disturb(apply: () => Promise<void>): Promise<void> {
    const fromMs = this.#parts.clock.nowMs();
    await apply();
    this.disturbedSpans.push({ fromMs, toMs: this.#parts.clock.nowMs() });
  }

  async #pause(
    process: SoakInstance["process"],
    apply: () => Promise<void>,
  ): Promise<void> {
    const fromMs = this.#parts.clock.nowMs();
    await this.#disturb(apply);
    this.#recordPause(process, fromMs);
  }

  #recordPause(
    { name }: SoakInstance["process"],
    fromMs: number,
    isGraceful = false,
  ): void {
    const toMs = this.#parts.clock.nowMs();
    this.pauses.push({ instance: name, fromMs, toMs, isGraceful });
  }

  #wait(ms: number): Promise<void> {
    return waitFor(this.#parts.clock, ms, this.#parts.fleet.closed);
  }
}

/**
 * Returns whether a fault may keep a server from answering calls that it runs. One that
 * survives few rejections must not get the calls of a standstill all at once.
 */
function endsCalls(fault: Fault): boolean {
  if (fault.kind === "link") return fault.mode !== "hold";
  if (fault.kind !== "server") return false;
  switch (fault.what) {
    case "brittle":
    case "crash":
    case "restart":
    case "hang":
    case "fail":
    case "break-off":
    case "cut":
    case "stray":
      return true;
    case "drain":
    case "overwrite":
    case "rest":
    case "say-leaving":
    case "limit":
      return false;
  }
}
