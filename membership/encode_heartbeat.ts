import { createHmac, timingSafeEqual } from "node:crypto";
import * as z from "zod";
import type { Heartbeat } from "./member.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import { decodeCrashRow, encodeCrashRow } from "../quarantine/mod.ts";

const TAG_BYTES = 12;
const STATUSES = ["suspect", "leaving", "dead"] as const;

const gossipRow = z.tuple([
  z.string(),
  z.number(),
  z.number().int().min(0).max(2),
]);
const serviceRow = z.tuple([z.string(), z.number(), z.number()]);
const digestRow = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.array(z.string()),
  z.array(serviceRow),
]);
const crashRow = z.tuple([z.string(), z.number().nonnegative()]).rest(
  z.string(),
);
const notification = z.object({
  jsonrpc: z.literal("2.0"),
  method: z.literal("hb"),
  params: z.tuple([
    z.string(),
    z.string(),
    z.number(),
    z.number(),
    z.number(),
    z.number(),
    z.array(gossipRow),
    z.array(digestRow),
  ]),
  // Outside of the parameters, since daemons of earlier versions accept only those above.
  ends: z.array(crashRow).optional(),
});

/**
 * Encodes a heartbeat as a JSON-RPC 2.0 notification with positional
 * parameters, prefixed by a truncated HMAC-SHA-256 tag.
 *
 * @param heartbeat Heartbeat to encode.
 * @param key Secret shared by all daemons.
 */
export function encodeHeartbeat(heartbeat: Heartbeat, key: string): Buffer {
  const params = [
    heartbeat.from,
    heartbeat.region,
    heartbeat.incarnation,
    heartbeat.sequence,
    heartbeat.isLeaving ? 1 : 0,
    heartbeat.configuration,
    heartbeat.gossip.map(({ id, incarnation, status }) => [
      id,
      incarnation,
      STATUSES.indexOf(status),
    ]),
    heartbeat.digests.map((item) => [
      item.region,
      item.author,
      item.incarnation,
      item.sequence,
      item.configuration[0],
      item.configuration[1],
      item.liveCount,
      item.gateways,
      item.services.map(({ service, spare, firstTokenMs }) => [
        service,
        Math.round(spare),
        Math.round(firstTokenMs),
      ]),
    ]),
  ];
  const rows = heartbeat.crashReports?.map(encodeCrashRow);
  const body = Buffer.from(JSON.stringify({
    jsonrpc: "2.0",
    method: "hb",
    params,
    ...(rows?.length ? { ends: rows } : {}),
  }));
  return Buffer.concat([computeTag(body, key), body]);
}

/**
 * Decodes a heartbeat. Returns `undefined` if the tag or the shape is wrong.
 *
 * @param datagram Datagram as received.
 * @param key Secret shared by all daemons.
 */
export function decodeHeartbeat(
  datagram: Uint8Array,
  key: string,
): Heartbeat | undefined {
  if (datagram.length <= TAG_BYTES) return undefined;
  const body = datagram.subarray(TAG_BYTES);
  if (
    !timingSafeEqual(datagram.subarray(0, TAG_BYTES), computeTag(body, key))
  ) return undefined;
  const parsed = notification.safeParse(
    parseJson(Buffer.from(body).toString("utf8")),
  );
  if (!parsed.success) return undefined;
  const [
    from,
    region,
    incarnation,
    sequence,
    leaving,
    configuration,
    gossip,
    digests,
  ] = parsed.data.params;
  return {
    from: from as InstanceId,
    region: region as RegionId,
    incarnation,
    sequence,
    isLeaving: leaving === 1,
    configuration,
    gossip: gossip.map(([id, number, status]) => ({
      id: id as InstanceId,
      incarnation: number,
      status: STATUSES[status]!,
    })),
    digests: digests.map((item) => ({
      region: item[0] as RegionId,
      author: item[1] as InstanceId,
      incarnation: item[2],
      sequence: item[3],
      configuration: [item[4], item[5]],
      liveCount: item[6],
      gateways: item[7] as InstanceId[],
      services: item[8].map(([name, spare, firstTokenMs]) => ({
        service: name,
        spare,
        firstTokenMs,
      })),
    })),
    ...(parsed.data.ends === undefined ? {} : {
      crashReports: parsed.data.ends.map(decodeCrashRow),
    }),
  };
}

function computeTag(body: Uint8Array, key: string): Buffer {
  return createHmac("sha256", key).update(body).digest().subarray(0, TAG_BYTES);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
