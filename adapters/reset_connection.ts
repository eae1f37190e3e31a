import type { Socket } from "node:net";

/**
 * Resets a connection, as the crash of a process does. One whose end is being sent is closed:
 * Node cannot reset it, and keeps its handle for ever, with which the process never exits.
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
