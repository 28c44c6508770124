import type {Socket} from 'node:net';

/** Counts the bytes of a group of sockets, open and closed. */
export class SocketBytes {
  private readonly open = new Set<Socket>();
  private closedRead = 0;
  private closedWritten = 0;

  /** Counts a socket from now on. */
  add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedRead += socket.bytesRead;
      this.closedWritten += socket.bytesWritten;
    });
  }

  readReceived(): number {
    return [...this.open].reduce(
      (sum, socket) => sum + socket.bytesRead,
      this.closedRead,
    );
  }

  readSent(): number {
    return [...this.open].reduce(
      (sum, socket) => sum + socket.bytesWritten,
      this.closedWritten,
    );
  }
}
