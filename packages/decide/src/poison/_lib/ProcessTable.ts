import { MAX_TRACKED_PROCESSES } from '../constants.js';
import type { ServerProcess } from '../processTypes.js';
import { createRecord, type Attempt, type ProcessRecord } from './processRecord.js';

const formatKey = ({ serverId, startId }: ServerProcess): string => `${serverId} ${startId}`;

/** Records of the processes that run attempts, and of recently ended ones, up to {@link MAX_TRACKED_PROCESSES}. */
export default class ProcessTable {
  private readonly records = new Map<string, ProcessRecord>();

  find(process: ServerProcess): ProcessRecord | undefined {
    return this.records.get(formatKey(process));
  }

  /**
   * Returns the record of a live process or creates one. A new attempt under the id of a process that refused
   * connections can only run on its successor, which gets a new record.
   */
  getOrCreate(process: ServerProcess): ProcessRecord {
    const known = this.find(process);
    if (known !== undefined && known.end === undefined) {
      return known;
    }
    const record = createRecord(process, (known?.unlistedStarts ?? 0) + (known?.end === 'refused' ? 1 : 0));
    const key = formatKey(process);
    this.records.delete(key);
    this.records.set(key, record);
    if (this.records.size > MAX_TRACKED_PROCESSES) {
      this.evictOldest();
    }
    return record;
  }

  /** Removes an attempt, and the record of its process when it holds nothing else. */
  removeAttempt(attempt: Attempt): void {
    const { record } = attempt;
    record.running.delete(attempt);
    const isUnreferenced = record.running.size === 0 && record.losses.length === 0 && record.answers.length === 0;
    if (isUnreferenced && record.end === undefined && record.unlistedStarts === 0 && this.find(record) === record) {
      this.records.delete(formatKey(record));
    }
  }

  private evictOldest(): void {
    const oldest = [...this.records].find(([, { running }]) => running.size === 0);
    if (oldest !== undefined) {
      this.records.delete(oldest[0]);
    }
  }
}
