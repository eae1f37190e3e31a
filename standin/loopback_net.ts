/** Addresses from here on are spread over processes; 127.0.0.x stays for others. */
const FIRST_NET = 64;
const NETS = 128;
const SUBNETS = 256;

/**
 * Returns a loopback address that only this process uses, so that a port that is
 * free on it stays free: tests run in several processes at a time, and what is
 * free on 127.0.0.1 may be taken before it is opened.
 *
 * @param host Last number of the address, from 1 to 254.
 */
export function toOwnLoopback(host: number): string {
  const { pid } = process;
  const net = FIRST_NET + pid % NETS;
  const subnet = Math.floor(pid / NETS) % SUBNETS;
  return `127.${net}.${subnet}.${host}`;
}
