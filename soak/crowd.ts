import { connect } from "node:net";
import { type Clock, createToken, type Random, waitFor } from "../clock/mod.ts";
import {
  CALL_ID_HEADER,
  REMAINING_HEADER,
} from "../standin/platform_headers.ts";
import { type CalledInstance, SOAK_HOST, STEADY_TEAM } from "./caller.ts";
import type { AbandonedCall } from "./observation.ts";

/** Callers of a crowd: fewer than an instance's queue of pending connections can hold. */
const CROWD_SIZE = 60;
/**
 * Remaining time that the calls of a crowd state, in milliseconds: their deadline is later than
 * the disconnect.
 */
const CROWD_TIMEOUT_MS = 20_000;

/** Options of {@linkcode runCrowd}. */
export interface CrowdParts {
  readonly clock: Clock;
  readonly random: Random;
  /** How long the callers stay connected, in milliseconds. */
  readonly stayMs: number;
}

/**
 * Connects many callers to an instance at once, each of which sends a call and
 * disconnects without an answer.
 *
 * @param instance Instance that is called.
 * @param parts Clock, source of call ids and time until the disconnect.
 * @returns The calls, and when their callers disconnected.
 */
export async function runCrowd(
  { host, port }: CalledInstance,
  { clock, random, stayMs }: CrowdParts,
): Promise<readonly AbandonedCall[]> {
  const callers = Array.from({ length: CROWD_SIZE }, () => {
    const callId = createToken(random);
    const socket = connect(port, host);
    // An instance that is down refuses the connection, so that the call does not run either.
    socket.on("error", () => socket.destroy());
    socket.write(
      [
        "GET /idempotent/x HTTP/1.1",
        `Host: ${SOAK_HOST}`,
        `${CALL_ID_HEADER}: ${callId}`,
        `${REMAINING_HEADER}: ${CROWD_TIMEOUT_MS}`,
        `Authorization: Bearer ${STEADY_TEAM.key}`,
        "\r\n",
      ].join("\r\n"),
    );
    return { callId, socket };
  });
  await waitFor(clock, stayMs);
  callers.forEach(({ socket }) => socket.destroy());
  const abandonedMs = clock.nowMs();
  return callers.map(({ callId }) => ({ callId, abandonedMs }));
}
