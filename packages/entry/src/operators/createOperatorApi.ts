import { JSONRPCServer } from 'json-rpc-2.0';
import type { HostStatus } from '@bergamotcove/protocol';
import type { SpanRecord } from '@bergamotcove/telemetry';

/** What operators can ask of this host. */
export interface OperatorPorts {
  readonly status: () => HostStatus;
  readonly trace: (traceId: string) => readonly SpanRecord[];
  readonly drain: () => void;
}

/** Answers one JSON-RPC request text with a response text. */
export type RpcHandler = (text: string) => Promise<string>;

/**
 * Creates the JSON-RPC interface for operators.
 *
 * @param ports - what the methods do
 * @returns the handler
 */
export default function createOperatorApi(ports: OperatorPorts): RpcHandler {
  const server = new JSONRPCServer();
  server.addMethod('operator.status', () => ports.status());
  server.addMethod('operator.trace', (params: { readonly traceId: string }) => ports.trace(params.traceId));
  server.addMethod('operator.drain', () => {
    ports.drain();
    return { draining: true };
  });
  return async (text) => {
    const response = await server.receiveJSON(text);
    return JSON.stringify(response);
  };
}
