import { MAX_ENDED_PROCESSES } from '../constants.js';
import type { ServerProcess } from '../createLossBook.js';
import { createRecord, type Attempt, type ProcessRecord } from './processRecord.js';

const formatKey = ({ serverId, startId }: ServerProcess): string => `${serverId} ${startId}`;

/** The processes that have attempts, and those that have ended. */
export default class Processes {
  private readonly records = new Map<string, ProcessRecord>();

  find(process: ServerProcess): ProcessRecord | undefined {
    return this.records.get(formatKey(process));
  }

  /** Attempts on a process that refused connections run on the next one, if they run. */
  open(process: ServerProcess): ProcessRecord {
    const known = this.find(process);
    if (known !== undefined && known.end === undefined) {
      return known;
    }
    const record = createRecord(process, (known?.unlistedStarts ?? 0) + (known?.end === 'refused' ? 1 : 0));
    const key = formatKey(process);
    this.records.delete(key);
    this.records.set(key, record);
    if (this.records.size > MAX_ENDED_PROCESSES) {
      this.forgetOldest();
    }
    return record;
  }

  /** Ends an attempt; a process of which nothing else is known is forgotten. */
  leave(attempt: Attempt): void {
    const { record } = attempt;
    record.running.delete(attempt);
    const isQuiet = record.running.size === 0 && record.losses.length === 0 && record.answers.length === 0;
    if (isQuiet && record.end === undefined && record.unlistedStarts === 0 && this.find(record) === record) {
      this.records.delete(formatKey(record));
    }
  }

  private forgetOldest(): void {
    const oldest = [...this.records].find(([, { running }]) => running.size === 0);
    if (oldest !== undefined) {
      this.records.delete(oldest[0]);
    }
  }
}
