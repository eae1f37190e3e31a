import { createSocket, type Socket } from "node:dgram";
import {
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

/** Sends and receives reports as UDP datagrams. */
export class ReportSocket {
  readonly #address: string;
  readonly #logger: Logger;
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
   * report replaces them.
   */
  send(
    report: FleetReport,
    addresses: readonly string[],
    { echoes = [], isCompressed = false }: SendReportOptions = {},
  ): void {
    if (addresses.length === 0) return;
    const body = isCompressed ? compressReport(report) : encodeReport(report);
    addresses.forEach((address, index) => {
      const { host, port } = toSocketAddress(address);
      const datagram = isCompressed
        ? [encodeCompressedHeader(echoes[index] ?? 0), body]
        : body;
      this.#socket.send(datagram, port, host, ignoreError);
    });
  }

  /** Closes the socket. */
  close(): void {
    this.#socket.close();
  }
}

function toSocketAddress(address: string): NetworkAddress {
  const parsed = parseAddress(address);
  if (parsed !== undefined) return parsed;
  // Settings, reports and entries of the store are checked where they are read.
  throw new TypeError(`Wanted an address with a port, got "${address}"`);
}

/** Ignores a failed send: an unreachable instance is detected by its missing reports. */
function ignoreError(): void {}
