import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { RegisteredServer, ServerRegistry } from "../servers/mod.ts";
import type { AnswerFacts } from "./call_header_codec.ts";
import type { LearnedServers } from "./learned_servers.ts";

/** What a {@linkcode ServerFactsRecorder} is created from. */
export interface ServerFactsRecorderParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: Pick<ServerRegistry, "markCold" | "markLeaving">;
  readonly learned: Pick<LearnedServers, "health" | "limits" | "rejectionGate">;
}

/** Records what servers report about themselves in the heads of answers. */
export class ServerFactsRecorder {
  readonly #parts: ServerFactsRecorderParts;

  /** @param parts Clock, logger, and what is known of servers. */
  constructor(parts: ServerFactsRecorderParts) {
    this.#parts = parts;
  }

  /**
   * Records what the head of an answer reports.
   *
   * @param server Server that the call was sent to.
   * @param facts What the head reports.
   * @param sentMs When the call was sent, in milliseconds.
   */
  record(
    server: RegisteredServer,
    facts: AnswerFacts,
    sentMs: number,
  ): void {
    const {
      coldForMs,
      isLeaving,
      isMisdirected,
      cooldownMs,
    } = facts;
    const { id, service } = server;
    // Another server has the address, and the answer is about that server.
    if (isMisdirected) return;
    this.#recordLimit(server, facts, sentMs);
    this.#recordTolerance(server, facts, sentMs);
    const { clock, learned: { health }, logger, registry } = this.#parts;
    const nowMs = clock.nowMs();
    if (coldForMs !== undefined && coldForMs > 0) {
      registry.markCold(id, nowMs + coldForMs);
    }
    if (isLeaving && registry.markLeaving(id)) {
      logger.info("server is shutting down", { server: id, service });
    }
    if (
      cooldownMs !== undefined &&
      health.startCooldown(id, nowMs + cooldownMs, nowMs)
    ) {
      const forMs = Math.round(cooldownMs);
      logger.info("server entered cool-down", { server: id, service, forMs });
    }
  }

  #recordLimit(
    { id, service }: RegisteredServer,
    { isNotExecuted, limitPerSecond: perSecond }: AnswerFacts,
    sentMs: number,
  ): void {
    // A rejection without a limit does not lift the known one: a server that rejects calls
    // still needs it.
    if (isNotExecuted && perSecond === undefined) return;
    const { clock, learned: { limits }, logger } = this.#parts;
    if (!limits.recordAdvertised(id, { perSecond, sentMs }, clock.nowMs())) {
      return;
    }
    if (perSecond === undefined) {
      logger.info("server no longer advertises a limit", {
        server: id,
        service,
      });
    } else {
      logger.info("server advertised a limit", {
        server: id,
        service,
        perSecond,
      });
    }
  }

  #recordTolerance(
    { id, service }: RegisteredServer,
    { isNotExecuted, rejectionsPerSecond: perSecond }: AnswerFacts,
    sentMs: number,
  ): void {
    // Like a limit, it isn't lifted by a rejection that does not name it.
    if (isNotExecuted && perSecond === undefined) return;
    const { clock, learned: { rejectionGate }, logger } = this.#parts;
    const advertised = { perSecond, sentMs };
    if (!rejectionGate.recordAdvertised(id, advertised, clock.nowMs())) return;
    logger.info(
      perSecond === undefined
        ? "server no longer limits rejections"
        : "server advertised a limit of rejections",
      {
        server: id,
        service,
        ...(perSecond === undefined ? {} : { perSecond }),
      },
    );
  }
}
