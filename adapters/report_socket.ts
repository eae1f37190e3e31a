import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { decodeReport, encodeReport, type FleetReport } from "../fleet/mod.ts";

/** Sends and receives reports as datagrams. */
export class ReportSocket {
  readonly #address: string;
  readonly #socket: Socket = createSocket("udp4");

  /** @param address Own IP address and port. */
  constructor(address: string) {
    this.#address = address;
  }

  /**
   * Opens the socket.
   *
   * @param receive Takes each report with the address that sent it.
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

  /** Sends a report to several addresses; what is lost is made up for by the next. */
  send(report: FleetReport, addresses: readonly string[]): void {
    if (addresses.length === 0) return;
    const datagram = encodeReport(report);
    addresses.map(splitAddress).forEach(({ host, port }) =>
      this.#socket.send(datagram, port, host, ignoreError)
    );
  }

  close(): void {
    this.#socket.close();
  }
}

function splitAddress(address: string) {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/** An instance that cannot be reached is noticed by its silence. */
function ignoreError(): void {}
