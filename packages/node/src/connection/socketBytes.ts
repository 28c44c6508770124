import type {Socket} from 'node:net';

/** Counts the bytes of a group of sockets, open and closed. */
export class SocketBytes {
  private readonly openSockets = new Set<Socket>();
  private closedBytesRead = 0;
  private closedBytesWritten = 0;

  /** Counts a socket from now on. */
  add(socket: Socket): void {
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedBytesRead += socket.bytesRead;
      this.closedBytesWritten += socket.bytesWritten;
    });
  }

  readReceived(): number {
    return [...this.openSockets].reduce(
      (sum, socket) => sum + socket.bytesRead,
      this.closedBytesRead,
    );
  }

  readSent(): number {
    return [...this.openSockets].reduce(
      (sum, socket) => sum + socket.bytesWritten,
      this.closedBytesWritten,
    );
  }
}
