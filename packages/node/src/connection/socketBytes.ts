import type {Socket} from 'node:net';

/** Sums the bytes received and sent by a group of open and closed sockets. */
export class SocketBytes {
  private readonly openSockets = new Set<Socket>();
  private closedBytesRead = 0;
  private closedBytesWritten = 0;

  /** Adds a socket to the group. */
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
