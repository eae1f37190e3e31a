import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import {
  compressReport,
  decodeReport,
  encodeCompressedHeader,
  encodeReport,
  type FleetReport,
  type SendReportOptions,
} from "../fleet/mod.ts";

/** Sends and receives reports as UDP datagrams. */
export class ReportSocket {
  readonly #address: string;
  readonly #socket: Socket = createSocket("udp4");

  /** @param address IP address and port of this instance. */
  constructor(address: string) {
    this.#address = address;
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
    const { host, port } = splitAddress(this.#address);
    this.#socket.bind(port, host);
    await once(this.#socket, "listening");
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
      const { host, port } = splitAddress(address);
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

function splitAddress(address: string) {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/** Ignores a failed send: an unreachable instance is detected by its missing reports. */
function ignoreError(): void {}
