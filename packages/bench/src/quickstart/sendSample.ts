import type { HttpClient, HttpResponse } from '@bergamotcove/transport';
import type { RunningEntryHost } from '../deployment/startDeployment.js';
import type { Sample } from './readSamples.js';

const ADDRESS = '127.0.0.1';

/** Headers of one sample request. */
export interface SampleHeaders {
  readonly 'idempotency-key'?: string;
  readonly traceparent?: string;
}

/**
 * Posts a sample request to an entry host.
 *
 * @param http - HTTP client
 * @param host - the entry host
 * @param sample - the sample request
 * @param headers - idempotency key and trace context
 * @returns the complete response
 */
export default function sendSample(
  http: HttpClient,
  host: RunningEntryHost,
  sample: Sample,
  headers: SampleHeaders,
): Promise<HttpResponse> {
  return http.send(
    { address: ADDRESS, port: host.callersPort },
    {
      method: 'POST',
      path: `/v1/services/${sample.service}/requests`,
      headers: { 'content-type': 'application/json', ...headers },
      body: sample.body,
    },
  );
}
