import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseServiceDocument } from '@bergamotcove/config';
import { DEPLOYMENTS } from '../deployment/deployments.js';
import { exampleFile } from '../deployment/paths.js';
import readSamples from './readSamples.js';

Object.values(DEPLOYMENTS).forEach((spec) => {
  test(`every operation of ${spec.name} has a sample request, so that the quickstart shows each one`, () => {
    const operations = spec.documents.flatMap((service) => {
      const file = exampleFile(spec.name, service);
      const document = parseServiceDocument(JSON.parse(readFileSync(file, 'utf8')), { source: file });
      return document.operations.map((operation) => `${service}.${operation.name}`);
    });
    const samples = readSamples(spec.name).map((sample) => `${sample.service}.${sample.operation.name}`);
    assert.deepEqual(samples, operations.sort());
  });

  test(`every pool that a document of ${spec.name} names exists in the deployment`, () => {
    const pools = spec.pools.map((pool) => pool.pool);
    spec.documents.forEach((service) => {
      const file = exampleFile(spec.name, service);
      const document = parseServiceDocument(JSON.parse(readFileSync(file, 'utf8')), { source: file });
      document.stages.forEach((stage) => assert.ok(pools.includes(stage.pool), `${service}: ${stage.pool}`));
    });
  });
});
