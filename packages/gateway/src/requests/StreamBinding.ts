import type { Clock } from '@bergamotcove/clock';
import { findContinuers, isSameOrigin, type ServerDescription, type StreamOrigin } from '@bergamotcove/decide';
import type { BackendDirectory } from '../catalogue/BackendDirectory.js';
import { isResumable, type StreamOrigins } from '../streams/createStreamOrigins.js';
import type { ForwardRequest } from './types.js';

/** Dependencies of {@link StreamBinding}. */
export interface BindingPorts {
  readonly clock: Clock;
  readonly origins: StreamOrigins;
  readonly directory: Pick<BackendDirectory, 'find' | 'list'>;
}

/** Time that the first event waits for the record of its stream. */
const RECORD_LIMIT_MS = 600;

/** An attempt that has passed no event on yet. */
interface Candidate {
  readonly server: ServerDescription;
  readonly origin: StreamOrigin;
  /** Identifies the process that the attempt was sent to; undefined for a server that is no longer listed. */
  readonly startedAtMs: number | undefined;
}

/** Binds one stream to the software version that began it. Other requests are not bound. */
export default class StreamBinding {
  /** Where the events come from that the caller has; undefined before the first one. */
  private origin: StreamOrigin | undefined;

  private candidate: Candidate | undefined;

  private isTakeUpNoted = false;

  /** Whether the server of the last attempt that was to be confirmed has started again, or has another version. */
  private isReplaced = false;

  /** Records of the attempts so far; all of them are awaited, because an earlier one could overwrite a later one. */
  private readonly records: Promise<boolean>[] = [];

  constructor(
    private readonly request: ForwardRequest,
    private readonly pool: string,
    private readonly ports: BindingPorts,
  ) {
    this.origin = request.origin;
  }

  /** Version that the next server must have; undefined when any version will do. */
  get requiredVersion(): string | undefined {
    if (!isResumable(this.request.route)) {
      return undefined;
    }
    if (this.origin !== undefined) {
      return this.origin.softwareVersion;
    }
    const { origins } = this.ports;
    return origins.isWritable ? undefined : this.findAgreedWithServers()?.softwareVersion;
  }

  /** Whether only servers of one version may go on with the stream. */
  get isBound(): boolean {
    return this.origin !== undefined;
  }

  /** Starts to record the origin of the stream, if it has to be, while the server prepares its first event. */
  prepare(server: ServerDescription): void {
    if (!isResumable(this.request.route)) {
      return;
    }
    const { origins, directory } = this.ports;
    const origin = { pool: this.pool, softwareVersion: server.softwareVersion ?? '' };
    this.candidate = { server, origin, startedAtMs: directory.find(server.serverId)?.startedAtMs };
    if (this.origin !== undefined) {
      this.noteTakeUp();
      return;
    }
    if (this.records.length > 0 || !isSameOrigin(origin, origins.agreedFor(this.request.route.name))) {
      this.records.push(origins.record(this.request.requestId, origin));
    }
  }

  /**
   * Resolves to whether the events of the current attempt may be passed on: every host can find out where the stream
   * began, or no server could join another version to it.
   */
  async confirm(): Promise<boolean> {
    if (this.candidate === undefined) {
      return true;
    }
    const isRecorded = this.origin !== undefined || this.records.length === 0 || (await this.awaitRecords());
    this.isReplaced = !this.isSameProcess(this.candidate);
    return !this.isReplaced && (isRecorded || this.findAgreedWithServers() === undefined);
  }

  /** Whether another server may be asked after an attempt that was not confirmed. */
  get mayTryOthers(): boolean {
    return this.isReplaced;
  }

  /** Binds the stream to the server of the current attempt, whose first event is passed on now. */
  noteEvents(): void {
    if (this.origin === undefined && this.candidate !== undefined) {
      this.origin = this.candidate.origin;
      this.ports.origins.noteBegun(this.request.requestId, this.origin);
    }
  }

  /** Makes the origin of a stream that is taken up known under the id of this request, by which it may be named next. */
  private noteTakeUp(): void {
    const { origin, requestId, route } = this.request;
    if (origin !== undefined && !this.isTakeUpNoted) {
      this.isTakeUpNoted = true;
      const { origins } = this.ports;
      origins.noteBegun(requestId, origin);
      if (!isSameOrigin(origin, origins.agreedFor(route.name))) {
        origins.record(requestId, origin).catch(() => undefined);
      }
    }
  }

  private awaitRecords(): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this.ports.clock.schedule(RECORD_LIMIT_MS, () => resolve(false));
      Promise.all(this.records)
        .then((written) => resolve(written.every(Boolean)))
        .catch(() => resolve(false))
        .finally(() => timer.close());
    });
  }

  /** A server may start again with other software under its id; which of the two wrote the events is not known then. */
  private isSameProcess({ server, origin, startedAtMs }: Candidate): boolean {
    const known = this.ports.directory.find(server.serverId);
    return (
      known === undefined || (known.startedAtMs === startedAtMs && known.softwareVersion === origin.softwareVersion)
    );
  }

  private findAgreedWithServers(): StreamOrigin | undefined {
    const agreed = this.ports.origins.agreedFor(this.request.route.name);
    const isServed =
      agreed?.pool === this.pool && findContinuers(this.ports.directory.list(this.pool), agreed).length > 0;
    return isServed ? agreed : undefined;
  }
}
