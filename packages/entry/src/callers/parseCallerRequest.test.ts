import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import CallerError from './CallerError.js';
import parseCallerRequest from './parseCallerRequest.js';

test('a wrong field gives a problem with its path and the outcome not-run', () => {
  const body = JSON.stringify({ organisation: 'acme', operation: 'draft', input: {}, deadlineMs: 'soon' });
  assert.throws(
    () => parseCallerRequest('clerk', body, {}),
    (error: unknown) =>
      error instanceof CallerError &&
      error.problem.status === 400 &&
      error.problem.outcome === 'not-run' &&
      error.problem.errors?.[0]?.path === 'deadlineMs',
  );
});

test('any input gives a request or a problem with status 400, so that bad input cannot end the process', () => {
  const bodies = fc.oneof(fc.string(), fc.json());
  const headerSets = fc.dictionary(fc.constantFrom('idempotency-key', 'last-event-id', 'traceparent'), fc.string());
  fc.assert(
    fc.property(bodies, headerSets, (body, headers) => {
      try {
        parseCallerRequest('clerk', body, headers);
      } catch (error) {
        assert.equal(error instanceof CallerError && error.problem.status === 400, true);
      }
    }),
  );
});
