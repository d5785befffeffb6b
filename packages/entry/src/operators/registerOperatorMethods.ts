import type { HostStatus } from '@bergamotcove/protocol';
import type { SpanRecord } from '@bergamotcove/telemetry';
import type { PeerServer } from '@bergamotcove/transport';

/** Operations of this host that operators can call. */
export interface OperatorPorts {
  readonly status: () => HostStatus;
  readonly trace: (traceId: string) => readonly SpanRecord[];
  readonly drain: () => void;
}

/**
 * Registers the methods that `bergamotctl` calls.
 *
 * @param server - RPC server of this host
 * @param ports - implementations of the methods
 */
export default function registerOperatorMethods(server: PeerServer, ports: OperatorPorts): void {
  server.register('operator.status', () => ports.status());
  server.register('operator.trace', (params) => ports.trace((params as { readonly traceId: string }).traceId));
  server.register('operator.drain', () => {
    ports.drain();
    return { draining: true };
  });
}
