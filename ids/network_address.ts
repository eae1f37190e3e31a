/** Host and port of a socket. */
export interface NetworkAddress {
  readonly host: string;
  /** Port from 1 to 65535. */
  readonly port: number;
}

/** A host name or an IP address, and a port. */
const ADDRESS_PATTERN = /^([\w.:[\]-]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Returns the host and the port of an address such as `10.0.0.1:8144`, or `undefined` if
 * the text is no address to which anything can be sent.
 */
export function parseAddress(text: string): NetworkAddress | undefined {
  const [, host, digits] = ADDRESS_PATTERN.exec(text) ?? [];
  const port = Number(digits);
  const isPort = port > 0 && port <= MAX_PORT;
  return host !== undefined && isPort ? { host, port } : undefined;
}
