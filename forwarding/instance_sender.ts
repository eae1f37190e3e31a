import type { Clock } from "../clock/mod.ts";
import { type ServerVersion, toSendId } from "../ids/mod.ts";
import type { FleetView } from "../fleet/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { CallHeaderCodec } from "./call_header_codec.ts";
import type { CallReplies } from "./call_replies.ts";
import type { Destination, DestinationChooser } from "./choose_destination.ts";
import { type Exchange, readStreamHandling } from "./exchange.ts";
import { isHopHeader, writeHop } from "./hop_headers.ts";
import { pickForwarded } from "./http_headers.ts";
import { computeFirstByteTimeoutMs } from "./compute_first_byte_timeout.ts";
import { runAttempt } from "./run_attempt.ts";
import type { ServerClient } from "./server_client.ts";
import type { SendOptions } from "./server_sender.ts";

const AUTHORIZATION = "authorization";

/** Maximum number of connections to one remote instance. */
const MAX_PEER_CONNECTIONS = 256;

/** Dependencies of an {@linkcode InstanceSender}. */
export interface InstanceSenderParts {
  readonly clock: Clock;
  readonly headerCodec: CallHeaderCodec;
  readonly client: ServerClient;
  readonly fleet: FleetView;
  readonly metrics: Metrics;
  readonly replies: CallReplies;
  /** Records the round trip to each region and the prompt tokens in transit to it. */
  readonly destinations: DestinationChooser;
}

/** Forwards calls to instances of remote regions. A call is forwarded at most once. */
export class InstanceSender {
  readonly #parts: InstanceSenderParts;
  /** Number of sends so far. */
  #sends = 0;

  /** @param parts Clock, client, metrics and what is known of the fleet. */
  constructor(parts: InstanceSenderParts) {
    this.#parts = parts;
  }

  /**
   * Forwards a call and passes on its answer.
   *
   * @param exchange The call.
   * @param destination The remote instance, and the server that it will probably choose.
   * @param options How the send is cancelled and handed over.
   */
  async send(
    exchange: Exchange,
    destination: Extract<Destination, { kind: "remote" }>,
    options: SendOptions,
  ): Promise<AttemptOutcome> {
    const { clock, fleet, headerCodec, metrics, destinations } = this.#parts;
    const { call, facts, progress } = exchange;
    const { candidate, member, region } = destination;
    const startMs = clock.nowMs();
    const service = exchange.service.name;
    metrics.count("call.away", 1, { service, region });
    destinations.addInTransit(region, candidate.prefillTokens);
    let isInTransit = true;
    const endTransit = () => {
      if (!isInTransit) return;
      isInTransit = false;
      destinations.addInTransit(region, -candidate.prefillTokens);
    };
    let version: ServerVersion | undefined;
    const sendId = toSendId(String(++this.#sends));
    const isRepeat = !exchange.isFirstSend;
    exchange.isFirstSend = false;
    const outcome = await runAttempt({
      client: this.#parts.client,
      headerCodec,
      sink: exchange.sink,
      request: {
        address: member.address,
        callId: facts.callId,
        method: call.method,
        target: call.target,
        headers: [
          ...pickForwarded(
            call.headers,
            (name) =>
              isForwardedHeader(name, exchange) ? "unless-named" : "never",
          ),
          ...writeHop({
            from: fleet.self.id,
            sendId,
            service: exchange.service.name,
            remainingMs: Math.max(1, exchange.deadlineMs - startMs),
            resumeAfter: progress.lastEventId,
            tried: [...exchange.tried],
            configurationVersion: exchange.access.configurationVersion,
            isTrial: exchange.isTrial,
            isRepeat,
            isHandover: exchange.isHandingOver,
            isAgain: exchange.onlyInstances !== undefined,
            version: progress.version,
            caller: exchange.access.caller,
          }),
        ],
        body: call.body,
        maxConnections: MAX_PEER_CONNECTIONS,
      },
      hopSendId: sendId,
      holdsFailures: exchange.isHandingOver,
      streams: readStreamHandling(exchange),
      progress,
      toPassedHead: (head) => {
        progress.version ??= version;
        return this.#parts.replies.toPassedHead(exchange, head);
      },
      onHopAnswer: (answer) => {
        version = answer.version;
        answer.tried.forEach((server) => exchange.tried.add(server));
        options.onRemoteServers?.(answer.tried);
        const roundTripMs = clock.nowMs() - startMs - answer.servedMs;
        destinations.recordRoundTrip(region, roundTripMs);
      },
      onMismatch: (answer) =>
        this.#parts.replies.recordMismatch(exchange, member.id, answer),
      onFirstByte: endTransit,
      signal: options.signal ?? exchange.signal,
      onAccepted: options.onAccepted,
      onDelivering: options.onDelivering,
      startHandover: options.startHandover,
      clock,
      firstByteTimeoutMs: computeFirstByteTimeoutMs(
        exchange,
        candidate.estimateMs + destinations.readRoundTripMs(region),
      ),
    });
    endTransit();
    return outcome;
  }
}

/** Returns whether a caller's header is forwarded; the key is not where callers are identified. */
function isForwardedHeader(
  name: string,
  { access: { withholdsKeys } }: Exchange,
): boolean {
  return !isHopHeader(name) && !(name === AUTHORIZATION && withholdsKeys);
}
