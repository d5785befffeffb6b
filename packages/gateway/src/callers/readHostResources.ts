import os from 'node:os';
import v8 from 'node:v8';
import type { ConnectionResources } from '@bergamotcove/decide';
import type { GatewaySettings } from '../settings.js';

const MB = 1_048_576;
/** Descriptors of a host whose settings do not state them. */
const MAX_DESCRIPTORS = 4_096;
/** Buffers lie outside the heap, so a process uses more than its heap; requests lie in it. */
const MEMORY_PER_HEAP = 1.5;

/**
 * Reads the memory and the descriptors that this process may use.
 *
 * @param resources - resources in the settings
 * @returns the memory that they state, or else that of the system, as far as the heap limit lets it be used
 */
export default function readHostResources(resources: GatewaySettings['resources']): ConnectionResources {
  const { memoryMb, maxDescriptors = MAX_DESCRIPTORS } = resources;
  const memoryBytes = memoryMb === undefined ? os.totalmem() : memoryMb * MB;
  const heapBytes = v8.getHeapStatistics().heap_size_limit;
  return { memoryBytes: Math.min(memoryBytes, heapBytes * MEMORY_PER_HEAP), maxDescriptors };
}
