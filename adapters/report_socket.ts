import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { decodeReport, encodeReport, type FleetReport } from "../fleet/mod.ts";

/** Sends and receives reports as datagrams. */
export class ReportSocket {
  readonly #host: string;
  readonly #port: number;
  readonly #socket: Socket = createSocket("udp4");

  /** @param address Own host, and the port that all instances use. */
  constructor(address: { readonly host: string; readonly port: number }) {
    this.#host = address.host;
    this.#port = address.port;
  }

  /**
   * Opens the socket.
   *
   * @param receive Takes each report with the host that sent it.
   */
  async open(
    receive: (report: FleetReport, host: string) => void,
  ): Promise<void> {
    this.#socket.on("message", (datagram, { address }) => {
      const report = decodeReport(datagram);
      if (report !== undefined) receive(report, address);
    });
    this.#socket.bind(this.#port, this.#host);
    await once(this.#socket, "listening");
  }

  /** Sends a report to several hosts; what is lost is made up for by the next. */
  send(report: FleetReport, hosts: readonly string[]): void {
    if (hosts.length === 0) return;
    const datagram = encodeReport(report);
    hosts.forEach((host) =>
      this.#socket.send(datagram, this.#port, host, ignoreError)
    );
  }

  close(): void {
    this.#socket.close();
  }
}

/** A host that cannot be reached is noticed by its silence. */
function ignoreError(): void {}
