import { type Clock, type Random, waitFor } from "../clock/mod.ts";
import { gatherCrowd } from "./crowd.ts";
import { sendEndingCalls } from "./ending_calls.ts";
import { type Fault, formatFault, type PlannedFault } from "./plan.ts";
import type {
  SeenCall,
  SeenDeparture,
  SeenLeft,
  SeenPause,
  SeenStop,
  SeenWord,
} from "./observation.ts";
import type { ServerSlot, SoakFleet, SoakInstance } from "./soak_fleet.ts";

/** What faults are applied to, and who hears of their effects. */
export interface FaultParts {
  readonly fleet: SoakFleet;
  readonly clock: Clock;
  /** Source of the ids of crowds' calls. */
  readonly random: Random;
  readonly print: (line: string) => void;
}

/** Heartbeats of a server after which the platform drops its entry, in milliseconds. */
const LAPSE_MS = 3_000;
/** Time after which an instance that was away or stood still is held to all promises, in milliseconds. */
const STEADY_AFTER_MS = 5_000;
/** Answer time of a slow store, in milliseconds. */
const SLOW_STORE_MS = 300;
/** How long the store is away before it comes back from a copy, in milliseconds. */
const RESTORE_AWAY_MS = 800;
/** Calls a second that a server with need takes: fewer than its callers ask for. */
const LIMIT_PER_SECOND = 2;

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Applies planned faults, undoes them, and keeps what the checks need to know. */
export class FaultRunner {
  readonly serverDepartures: SeenDeparture[] = [];
  readonly instanceDepartures: SeenDeparture[] = [];
  readonly left: SeenLeft[] = [];
  /** Calls under which servers ended. */
  readonly endingCalls: SeenCall[] = [];
  /** Spans in which some instance could not know or do what the bounds ask. */
  readonly disturbedMs: Span[] = [];
  /** What servers said of themselves. */
  readonly words: SeenWord[] = [];
  /** When each instance stood still or was away. */
  readonly pauses: SeenPause[] = [];
  readonly #stops: (Span & { readonly instance: string })[] = [];
  readonly #spans: (Span & { readonly planned: PlannedFault })[] = [];
  readonly #parts: FaultParts;
  /** Parts that a fault has hold of. */
  readonly #busy = new Set<unknown>();

  /** @param parts Fleet and clock. */
  constructor(parts: FaultParts) {
    this.#parts = parts;
  }

  /** Returns the planned stops, calm where nothing else was disturbed meanwhile. */
  listStops(): readonly SeenStop[] {
    return this.#stops.map(({ fromMs, instance, toMs }) => ({
      instance,
      atMs: fromMs,
      isCalm: this.#listSpans().every((span) =>
        span.fromMs === fromMs || span.toMs < fromMs - LAPSE_MS ||
        span.fromMs > toMs
      ),
    }));
  }

  /** Faults, and the ends of servers in place of the calls that they ended of. */
  #listSpans(): readonly Span[] {
    const faults = this.#spans.filter(({ planned }) =>
      planned.fault.kind !== "ending-call"
    );
    const ends = this.#parts.fleet.serverEndsMs.map((atMs) => ({
      fromMs: atMs,
      toMs: atMs,
    }));
    return [...faults, ...ends];
  }

  /** Applies a fault now and resolves when it is undone. */
  async run(planned: PlannedFault): Promise<void> {
    const { clock, print } = this.#parts;
    const parts = this.#findParts(planned.fault);
    // What a fault has hold of is left alone until it is undone.
    if (parts.some((part) => this.#busy.has(part))) return;
    parts.forEach((part) => this.#busy.add(part));
    print(formatFault(planned));
    const fromMs = clock.nowMs();
    await this.#apply(planned.fault, planned.forMs);
    this.#spans.push({ planned, fromMs, toMs: clock.nowMs() });
    parts.forEach((part) => this.#busy.delete(part));
  }

  #findParts(fault: Fault): readonly unknown[] {
    const { homeInstances, instances, slots, store } = this.#parts.fleet;
    switch (fault.kind) {
      case "instance":
      case "crowd":
        return [instances[fault.index]];
      case "homes":
        return homeInstances;
      case "ending-call":
        return ["a call under which servers end"];
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
    }
  }

  #apply(fault: Fault, forMs: number): Promise<void> {
    const { instances, slots } = this.#parts.fleet;
    switch (fault.kind) {
      case "instance":
        return this.#disturbInstance(
          instances[fault.index]!,
          fault.what,
          forMs,
        );
      case "crowd":
        return this.#sendCrowd(instances[fault.index]!, forMs);
      case "homes":
        return this.#stopHomes(forMs);
      case "ending-call":
        return this.#sendEndingCalls(forMs);
      case "link":
        return this.#disturbLink(fault, forMs);
      case "server":
        return this.#disturbServer(slots[fault.index]!, fault.what, forMs);
      case "store":
        return this.#disturbStore(fault.what, forMs);
      case "operator":
        return this.#operate(fault.what, forMs);
    }
  }

  async #disturbInstance(
    { process }: SoakInstance,
    what: Extract<Fault, { kind: "instance" }>["what"],
    forMs: number,
  ): Promise<void> {
    switch (what) {
      case "reload":
        process.signal("SIGHUP");
        return;
      case "pause":
        return await this.#pause(process, async () => {
          process.signal("SIGSTOP");
          await this.#wait(forMs);
          process.signal("SIGCONT");
        });
      case "kill":
        return await this.#pause(process, async () => {
          process.signal("SIGKILL");
          await process.awaitEnd();
          await this.#restart(process, forMs);
        });
      case "stop": {
        const fromMs = this.#parts.clock.nowMs();
        process.signal("SIGTERM");
        await process.awaitEnd();
        const toMs = this.#parts.clock.nowMs();
        this.#stops.push({ instance: process.name, fromMs, toMs });
        await this.#restart(process, forMs);
        this.#notePause(process, fromMs);
      }
    }
  }

  async #stopHomes(forMs: number): Promise<void> {
    await this.#disturb(async () => {
      await Promise.all(
        this.#parts.fleet.homeInstances.map((instance) =>
          this.#disturbInstance(instance, "stop", forMs)
        ),
      );
    });
  }

  async #sendCrowd(instance: SoakInstance, forMs: number): Promise<void> {
    const { clock, fleet, random } = this.#parts;
    const { process } = instance;
    await this.#pause(process, async () => {
      process.signal("SIGSTOP");
      const left = await gatherCrowd(fleet.toCalled(instance), {
        clock,
        random,
        stayMs: forMs / 2,
      });
      this.left.push(...left);
      await this.#wait(forMs / 2);
      process.signal("SIGCONT");
    });
  }

  #sendEndingCalls(forMs: number): Promise<void> {
    return sendEndingCalls({
      ...this.#parts,
      listSteady: () => this.#listSteady(),
      record: (call) => this.endingCalls.push(call),
    }, forMs);
  }

  #listSteady(): readonly SoakInstance[] {
    const { clock, fleet: { instances } } = this.#parts;
    const sinceMs = clock.nowMs() - STEADY_AFTER_MS;
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
    process.start();
  }

  async #disturbLink(
    { index, mode, to }: Extract<Fault, { kind: "link" }>,
    forMs: number,
  ): Promise<void> {
    const { instances, slots } = this.#parts.fleet;
    const link = to === "store"
      ? instances[index]!.storeLink
      : slots[index]!.link;
    const disturb = async () => {
      link.setMode(mode);
      await this.#wait(forMs);
      link.setMode("pass");
    };
    if (to === "store") await this.#disturb(disturb);
    else await disturb();
  }

  async #disturbServer(
    slot: ServerSlot,
    what: Extract<Fault, { kind: "server" }>["what"],
    forMs: number,
  ): Promise<void> {
    const { clock, fleet } = this.#parts;
    const { server } = slot;
    switch (what) {
      case "drain": {
        server.saysItLeaves = true;
        await fleet.register(slot, true);
        const atMs = clock.nowMs();
        this.serverDepartures.push({ id: server.id, atMs, untilMs: Infinity });
        await this.#wait(forMs);
        // It serves on for a while, beside the one that takes its place.
        return await fleet.replaceServer(slot);
      }
      case "crash":
        server.crash();
        await this.#wait(LAPSE_MS);
        await fleet.operator.unregister(server.id);
        return await fleet.replaceServer(slot);
      case "restart":
        return await fleet.restartServer(slot);
      case "overwrite": {
        await fleet.operator.overwrite(server.id);
        const atMs = clock.nowMs();
        await this.#wait(forMs);
        const untilMs = clock.nowMs();
        this.serverDepartures.push({ id: server.id, atMs, untilMs });
        // Whoever has its place by now registers itself.
        if (slot.server === server) await fleet.register(slot);
        return;
      }
      case "say-leaving": {
        server.saysItLeaves = true;
        const fromMs = clock.nowMs();
        await this.#wait(forMs);
        this.words.push({
          server: server.id,
          kind: "leaving",
          fromMs,
          toMs: clock.nowMs(),
        });
        return await fleet.replaceServer(slot);
      }
      case "rest": {
        const fromMs = clock.nowMs();
        server.trouble = what;
        await this.#wait(forMs);
        server.trouble = "none";
        const toMs = clock.nowMs();
        this.words.push({ server: server.id, kind: "rest", fromMs, toMs });
        return;
      }
      case "limit": {
        const fromMs = clock.nowMs();
        server.limitPerSecond = LIMIT_PER_SECOND;
        await this.#wait(forMs);
        server.limitPerSecond = undefined;
        this.words.push({
          server: server.id,
          kind: "limit",
          perSecond: LIMIT_PER_SECOND,
          fromMs,
          toMs: clock.nowMs(),
        });
        return;
      }
      case "hang":
      case "fail":
      case "break-off":
        server.trouble = what;
        await this.#wait(forMs);
        server.trouble = "none";
    }
  }

  async #disturbStore(
    what: Extract<Fault, { kind: "store" }>["what"],
    forMs: number,
  ): Promise<void> {
    const { store } = this.#parts.fleet;
    switch (what) {
      case "restore":
        return await this.#restoreStore(forMs);
      case "forget":
        store.compact();
        return;
      case "down":
        await this.#disturb(async () => {
          store.setDown(true);
          await this.#wait(forMs);
          store.setDown(false);
        });
        return;
      case "slow":
        await this.#disturb(async () => {
          store.faults.latencyMs = SLOW_STORE_MS;
          await this.#wait(forMs);
          store.faults.latencyMs = 0;
        });
    }
  }

  /** A configuration is lost, and the next one comes before what was lost is written again. */
  async #restoreStore(forMs: number): Promise<void> {
    const { fleet } = this.#parts;
    const { operator, store } = fleet;
    const backup = store.createBackup();
    await fleet.configure();
    await this.#wait(forMs - RESTORE_AWAY_MS);
    await this.#disturb(async () => {
      store.setDown(true);
      await this.#wait(RESTORE_AWAY_MS);
      store.restoreBackup(backup);
      store.setDown(false);
    });
    await fleet.configure();
    await operator.writeAgain();
  }

  async #operate(
    what: Extract<Fault, { kind: "operator" }>["what"],
    forMs: number,
  ): Promise<void> {
    const { fleet } = this.#parts;
    if (what === "configure") return await fleet.configure();
    const { region } = fleet.instances[0]!;
    await fleet.operator.setEvacuated(region, true);
    await this.#wait(forMs);
    await fleet.operator.setEvacuated(region, false);
  }

  async #disturb(apply: () => Promise<void>): Promise<void> {
    const fromMs = this.#parts.clock.nowMs();
    await apply();
    this.disturbedMs.push({ fromMs, toMs: this.#parts.clock.nowMs() });
  }

  async #pause(
    process: SoakInstance["process"],
    apply: () => Promise<void>,
  ): Promise<void> {
    const fromMs = this.#parts.clock.nowMs();
    await this.#disturb(apply);
    this.#notePause(process, fromMs);
  }

  #notePause({ name }: SoakInstance["process"], fromMs: number): void {
    const toMs = this.#parts.clock.nowMs();
    this.pauses.push({ instance: name, fromMs, toMs });
  }

  #wait(ms: number): Promise<void> {
    return waitFor(this.#parts.clock, ms);
  }
}
