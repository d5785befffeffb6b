import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import type { PieceItem } from '../ports.js';
import noteResults from './noteResults.js';

const itemOf = (requestId: string): PieceItem => ({
  requestId,
  stage: 0,
  piece: 0,
  remainingMs: 100,
  input: { type: 'key', key: 'k' },
});
const done = (result: string) => ({ type: 'done', result }) as const;

test('an answer that names the result of another piece on the same connection belongs to another call', () => {
  const socket = new Socket();
  assert.equal(noteResults(socket, [itemOf('a'), itemOf('b')], [done('h1'), done('h2')]), true);
  assert.equal(noteResults(socket, [itemOf('c')], [done('h1')]), false);
  assert.equal(noteResults(socket, [itemOf('c')], [done('h3')]), true);
});

test('a piece that is made again may have the same result, and other connections are not concerned', () => {
  const socket = new Socket();
  assert.equal(noteResults(socket, [itemOf('a')], [done('h1')]), true);
  assert.equal(noteResults(socket, [itemOf('a')], [done('h1')]), true);
  assert.equal(noteResults(new Socket(), [itemOf('b')], [done('h1')]), true);
  assert.equal(noteResults(socket, [itemOf('b')], [{ type: 'late' }]), true);
});
