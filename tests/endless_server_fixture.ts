import type { Socket } from "node:net";

/** Bytes that a server sends for ever after a beginning. */
export interface EndlessBytes {
  readonly beginning: string;
  readonly repeated: string;
  /** Whether the bytes come one by one. Default: they come as fast as they are read. */
  readonly isSlow?: boolean;
}

/** Size of the pieces in which a server sends at full speed, in bytes. */
const PIECE_BYTES = 65_536;
/** Number of bytes after which a server waits, so that a fault does not fill the memory of a test. */
const MAX_FLOOD_BYTES = 268_435_456;
/** Time between two bytes of a slow server, in milliseconds. */
const SLOW_INTERVAL_MS = 100;

/** Sends bytes until the connection is closed. */
export function sendForEver(
  socket: Socket,
  { beginning, isSlow, repeated }: EndlessBytes,
): void {
  socket.write(beginning);
  if (isSlow) {
    const timer = setInterval(() => socket.write(repeated), SLOW_INTERVAL_MS);
    socket.once("close", () => clearInterval(timer));
    return;
  }
  const piece = repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length));
  const sendMore = () => {
    while (
      !socket.destroyed && socket.bytesWritten < MAX_FLOOD_BYTES &&
      socket.write(piece)
    );
  };
  socket.on("drain", sendMore);
  sendMore();
}

/** Returns whether an event comes within a time, in milliseconds. */
export async function isInTime(
  event: Promise<unknown>,
  maxMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), maxMs);
  });
  const isFirst = await Promise.race([event.then(() => true), late]);
  clearTimeout(timer);
  return isFirst;
}

/** Resolves once a connection is closed. */
export async function awaitClosed(socket: Socket): Promise<void> {
  if (socket.destroyed) return;
  await new Promise<void>((resolve) => socket.once("close", () => resolve()));
}
