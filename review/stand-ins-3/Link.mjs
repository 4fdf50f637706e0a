// A TCP proxy in front of a loopback address. While it is cut, nothing passes and nothing is answered.
import { connect, createServer } from 'node:net';

export class Link {
  isCut = false;

  sockets = new Set();

  constructor(address) {
    const [host, port] = address.split(':');
    this.server = createServer((inner) => {
      this.keep(inner);
      if (this.isCut) return;
      const outer = connect(Number(port), host);
      this.keep(outer);
      inner.on('data', (bytes) => this.isCut || outer.write(bytes));
      outer.on('data', (bytes) => this.isCut || inner.write(bytes));
      inner.on('close', () => this.isCut || outer.destroy());
      outer.on('close', () => this.isCut || inner.destroy());
    });
  }

  keep(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.server.address().port}`;
  }

  cut() {
    this.isCut = true;
  }

  /** Connections that have lost bytes are reset; new ones work. */
  heal() {
    this.isCut = false;
    this.sockets.forEach((socket) => socket.destroy());
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
