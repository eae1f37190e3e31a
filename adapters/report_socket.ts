import { createSocket, type Socket } from "node:dgram";
import {
  COMPRESSED_HEADER_BYTES,
  compressReport,
  decodeReport,
  encodeCompressedHeader,
  encodeReport,
  type FleetReport,
  type SendReportOptions,
} from "../fleet/mod.ts";
import { type NetworkAddress, parseAddress } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { bindSocket } from "./start_listening.ts";

/** Maximum size of a datagram over IPv4, in bytes. */
const MAX_DATAGRAM_BYTES = 65_507;

/** Sends and receives reports as UDP datagrams. */
export class ReportSocket {
  readonly #address: string;
  readonly #logger: Logger;
  /** What was left out of the last report that was too large, to log only changes. */
  #lastOmission: Omission = "nothing";
  readonly #socket: Socket = createSocket("udp4");

  /**
   * @param address IP address and port of this instance.
   * @param logger Receives the errors of the socket.
   */
  constructor(address: string, logger: Logger) {
    this.#address = address;
    this.#logger = logger;
  }

  /**
   * Opens the socket.
   *
   * @param receive Callback for each report and the address of its sender.
   */
  async open(
    receive: (report: FleetReport, from: string) => void,
  ): Promise<void> {
    this.#socket.on("message", (datagram, { address, port }) => {
      const report = decodeReport(datagram);
      if (report !== undefined) receive(report, `${address}:${port}`);
    });
    const address = toSocketAddress(this.#address);
    await bindSocket(this.#socket, address, this.#logger);
  }

  /**
   * Sends a report to several addresses. Lost datagrams are not sent again: the next
   * report replaces them. A report that is too large for a datagram is compressed, and sent
   * without its prompt parts if that does not suffice.
   */
  send(
    report: FleetReport,
    addresses: readonly string[],
    { echoes = [], isCompressed = false }: SendReportOptions = {},
  ): void {
    if (addresses.length === 0) return;
    const encoded = encodeWithinDatagram(report, isCompressed);
    this.#logOmission(encoded);
    if (encoded.omitted === "everything") return;
    addresses.forEach((address, index) => {
      const { host, port } = toSocketAddress(address);
      const datagram = encoded.isCompressed
        ? [encodeCompressedHeader(echoes[index] ?? 0), encoded.bytes]
        : encoded.bytes;
      this.#socket.send(datagram, port, host, ignoreError);
    });
  }

  #logOmission({ bytes, omitted }: EncodedReport): void {
    if (omitted === this.#lastOmission) return;
    this.#lastOmission = omitted;
    this.#logger.warn("size of reports changed", {
      omitted,
      bytes: bytes.length,
      maxBytes: MAX_DATAGRAM_BYTES,
    });
  }

  /** Closes the socket. */
  close(): void {
    this.#socket.close();
  }
}

/** What is left out of a report so that it fits into a datagram. */
type Omission = "nothing" | "prefixes" | "everything";

interface EncodedReport {
  readonly bytes: Buffer;
  readonly isCompressed: boolean;
  readonly omitted: Omission;
}

/** Encodes as much of a report as fits into a datagram. */
function encodeWithinDatagram(
  report: FleetReport,
  isCompressed: boolean,
): EncodedReport {
  const bytes = isCompressed ? compressReport(report) : encodeReport(report);
  if (isWithinDatagram(bytes)) {
    return { bytes, isCompressed, omitted: "nothing" };
  }
  const compressed = isCompressed ? bytes : compressReport(report);
  if (isWithinDatagram(compressed)) {
    return { bytes: compressed, isCompressed: true, omitted: "nothing" };
  }
  // Prompt parts are hints, and the only rows that callers choose.
  const shortened = compressReport({ ...report, prefixes: [] });
  const omitted = isWithinDatagram(shortened) ? "prefixes" : "everything";
  return { bytes: shortened, isCompressed: true, omitted };
}

function isWithinDatagram({ length }: Buffer): boolean {
  return length + COMPRESSED_HEADER_BYTES <= MAX_DATAGRAM_BYTES;
}

function toSocketAddress(address: string): NetworkAddress {
  const parsed = parseAddress(address);
  if (parsed !== undefined) return parsed;
  // Settings, reports and entries of the store are checked where they are read.
  throw new TypeError(`Wanted an address with a port, got "${address}"`);
}

/** Ignores a failed send: an unreachable instance is detected by its missing reports. */
function ignoreError(): void {}
