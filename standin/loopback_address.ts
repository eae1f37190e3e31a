/** First value of the second octet of the addresses that processes get; 127.0.0.x is left to other uses. */
const FIRST_NET = 64;
const NETS = 128;
const SUBNETS = 256;

/**
 * Returns a loopback address derived from the id of this process. Tests run in
 * several processes at the same time: a port that is free on 127.0.0.1 may be taken
 * by another process before it is opened, while a port that is free on an address
 * of one process stays free.
 *
 * @param host Last octet of the address, from 1 to 254.
 */
export function toLoopbackAddress(host: number): string {
  const { pid } = process;
  const net = FIRST_NET + pid % NETS;
  const subnet = Math.floor(pid / NETS) % SUBNETS;
  return `127.${net}.${subnet}.${host}`;
}
