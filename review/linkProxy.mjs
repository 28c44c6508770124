// A loopback proxy in front of the port on which a node accepts links from
// other nodes. It forwards the bytes unchanged.
import {connect, createServer} from 'node:net';

const PEER_PORT = 7620;

export class LinkProxy {
  pairs = new Set();
  /** Resets the next new connection once the node has answered on it. */
  resetsNextLink = false;

  constructor(machine, record) {
    this.machine = machine;
    this.record = record;
    this.server = createServer((client) => this.accept(client));
  }

  listen(host) {
    return new Promise((resolve) =>
      this.server.listen(0, host, () => {
        this.address = {host, port: this.server.address().port};
        resolve();
      }),
    );
  }

  /** Resets both sides of all connections. */
  reset() {
    this.record.add(
      `proxy resets ${this.pairs.size} links to ${this.machine.name}`,
    );
    for (const pair of [...this.pairs]) resetPair(pair);
  }

  close() {
    this.server.close();
    for (const pair of this.pairs) for (const socket of pair) socket.destroy();
  }

  accept(client) {
    const node = connect(PEER_PORT, this.machine.ip);
    const pair = [client, node];
    this.pairs.add(pair);
    const isReset = this.resetsNextLink;
    this.resetsNextLink = false;
    client.on('data', (data) => node.write(data));
    node.on('data', (data) => {
      if (client.destroyed) return;
      if (isReset) {
        this.record.add(
          `proxy resets a new link to ${this.machine.name} before the node's ` +
            'first answer is delivered',
        );
        resetPair(pair);
        return;
      }
      client.write(data);
    });
    for (const socket of pair) {
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        this.pairs.delete(pair);
        client.destroy();
        node.destroy();
      });
    }
  }
}

function resetPair(pair) {
  for (const socket of pair) if (!socket.destroyed) socket.resetAndDestroy();
}

/**
 * Lets the store hand out the addresses of proxies in place of those that the
 * nodes have written, so that links run through the proxies.
 */
export function routeLinks(store, proxies) {
  const applyWrites = store.applyWrites.bind(store);
  store.applyWrites = (puts, removed) => {
    for (const row of puts) {
      if (row['table-name'] !== 'nodes') continue;
      const node = JSON.parse(Buffer.from(row.value, 'base64').toString());
      const proxy = proxies.find(({machine}) => machine.name === node.node);
      if (!proxy) continue;
      const routed = JSON.stringify({...node, address: proxy.address});
      row.value = Buffer.from(routed).toString('base64');
    }
    return applyWrites(puts, removed);
  };
}
