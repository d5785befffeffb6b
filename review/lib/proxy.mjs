import net from 'node:net';

/**
 * Starts a proxy on loopback in front of an address. While it is cut, nothing passes in either direction and new
 * connections get no answer; the connections of that time are reset when the cut heals.
 */
export default async function startCutProxy(address) {
  const [host, port] = address.split(':');
  const links = new Set();
  let isCut = false;
  const server = net.createServer((client) => {
    const link = { client, upstream: undefined, silent: isCut };
    links.add(link);
    const end = () => {
      client.destroy();
      link.upstream?.destroy();
      links.delete(link);
    };
    client.on('error', () => undefined);
    client.on('close', end);
    if (isCut) {
      client.resume();
      return;
    }
    link.upstream = net.connect(Number(port), host);
    link.upstream.on('error', () => undefined);
    link.upstream.on('close', end);
    const pass = (from, to) =>
      from.on('data', (chunk) => {
        if (!link.silent) {
          to.write(chunk);
        }
      });
    pass(client, link.upstream);
    pass(link.upstream, client);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const reset = () => {
    links.forEach(({ client, upstream }) => {
      client.resetAndDestroy();
      upstream?.destroy();
    });
    links.clear();
  };
  return {
    address: `127.0.0.1:${server.address().port}`,
    cut: () => {
      isCut = true;
      links.forEach((link) => Object.assign(link, { silent: true }));
    },
    heal: () => {
      isCut = false;
      reset();
    },
    close: () => {
      server.close();
      reset();
    },
  };
}
