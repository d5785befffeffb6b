import type { IncomingMessage } from 'node:http';
import { isReaderFault, readStream } from '@bergamotcove/transport';
import type CallerExchange from '../callers/CallerExchange.js';
import createEventSplitter, { type StreamEvent } from './createEventSplitter.js';
import type StreamPosition from './StreamPosition.js';

/** How the relay of a server's stream ended. */
export type RelayEnd =
  /** The rest is what follows the last event; it was not relayed. */
  | { readonly type: 'complete'; readonly rest: Buffer }
  /** The connection broke, or the stream ended inside an event or in a too large one; the events before were relayed. */
  | { readonly type: 'broken' }
  /** An event did not follow the last one that the caller has; neither it nor anything after it was relayed. */
  | { readonly type: 'misplaced'; readonly event: StreamEvent }
  /** An event came in far too many chunks. */
  | { readonly type: 'fragmented' }
  /** Its events must not be passed on; none was. */
  | { readonly type: 'refused' };

/** Options of {@link relayStream}. */
export interface RelayOptions {
  /** Aborted when the attempt is abandoned; nothing is relayed from then on. */
  readonly signal: AbortSignal;
  /** Position of the caller, which the relayed events advance. */
  readonly position: StreamPosition;
  /** Asked once, when the stream has its first events; they are held until it resolves to true. */
  readonly confirm: () => Promise<boolean>;
  /** Called before bytes are relayed. */
  readonly onBytes: () => void;
  /** Called before each batch of events is relayed. */
  readonly onEvents: () => void;
}

const isEventStream = ({ headers }: IncomingMessage): boolean =>
  /^text\/event-stream\b/i.test(headers['content-type'] ?? '');

/** More events are not read before the first ones may be passed on. */
const MAX_HELD_BYTES = 65_536;

/** Events that arrived before they may be passed on. */
interface HeldBatch {
  readonly bytes: Uint8Array;
  readonly events: readonly StreamEvent[];
}

class Relay {
  private readonly splitter;

  private state: 'new' | 'confirming' | 'open' | 'ended' = 'new';

  private readonly held: HeldBatch[] = [];

  private heldBytes = 0;

  /** How the stream ended while its first events were held. */
  private heldEnd: (() => RelayEnd) | undefined;

  private hasEvents: boolean;

  constructor(
    private readonly response: IncomingMessage,
    private readonly exchange: CallerExchange,
    private readonly options: RelayOptions,
    private readonly resolve: (end: RelayEnd) => void,
    private readonly reject: (cause: unknown) => void,
  ) {
    const isContinuation = options.position.lastEventId !== undefined;
    this.hasEvents = exchange.headSent;
    this.splitter = createEventSplitter({ isContinuation });
    options.position.beginAnswer();
  }

  start(): void {
    const { response } = this;
    const endBroken = (): void => this.end(() => ({ type: 'broken' }));
    if (this.options.signal.aborted) {
      endBroken();
      return;
    }
    readStream(response, {
      onData: (chunk) => this.receive(chunk),
      onEnd: () => (response.complete ? this.end(() => this.relayRest()) : endBroken()),
      onBroken: (cause) => (isReaderFault(cause) ? this.fail(cause) : endBroken()),
    });
    this.options.signal.addEventListener('abort', () => this.finish({ type: 'broken' }), { once: true });
  }

  private receive(chunk: Buffer): void {
    // The parser emits the rest of a socket read even after the response is destroyed.
    if (this.state === 'ended' || this.heldEnd) {
      return;
    }
    const batch = this.splitter.push(chunk);
    const { isFragmented } = this.splitter;
    if (batch === undefined || isFragmented) {
      const type = isFragmented ? 'fragmented' : 'broken';
      this.end(() => ({ type }));
      this.response.destroy();
      return;
    }
    const { bytes, events } = batch;
    if (bytes === undefined || !this.exchange.isOpen) {
      return;
    }
    this.hasEvents = true;
    switch (this.state) {
      case 'new':
        this.hold({ bytes, events });
        this.confirm();
        break;
      case 'confirming':
        this.hold({ bytes, events });
        break;
      default:
        this.pass({ bytes, events });
    }
  }

  private hold(batch: HeldBatch): void {
    this.held.push(batch);
    this.heldBytes += batch.bytes.length;
    if (this.heldBytes > MAX_HELD_BYTES) {
      this.response.pause();
    }
  }

  private confirm(): void {
    this.state = 'confirming';
    this.options
      .confirm()
      .catch(() => false)
      .then((confirmed) => this.open(confirmed))
      .catch((cause: unknown) => this.fail(cause));
  }

  private open(confirmed: boolean): void {
    if (this.state !== 'confirming') {
      return;
    }
    if (!confirmed) {
      this.finish({ type: 'refused' });
      this.response.destroy();
      return;
    }
    this.state = 'open';
    this.response.resume();
    this.held.splice(0).forEach((batch) => this.pass(batch));
    if (this.heldEnd !== undefined) {
      this.end(this.heldEnd);
    }
  }

  private pass({ bytes, events }: HeldBatch): void {
    const { response, exchange, options } = this;
    if (this.state === 'ended') {
      return;
    }
    const misplaced = options.position.advance(events);
    const following = bytes.subarray(0, misplaced?.startBytes);
    if (misplaced === undefined || misplaced !== events[0]) {
      options.onBytes();
      options.onEvents();
      if (!exchange.write(following)) {
        response.pause();
        exchange.onDrain(() => response.resume());
      }
    }
    if (misplaced !== undefined) {
      this.finish({ type: 'misplaced', event: misplaced });
      response.destroy();
    }
  }

  /**
   * Ends the relay with the bytes after the last event. In a stream of events, bytes other than line ends start an event
   * that never ended; an answer without events is passed on as it is.
   */
  private relayRest(): RelayEnd {
    const rest = this.splitter.rest();
    if ((this.hasEvents || isEventStream(this.response)) && !/^[\r\n]*$/.test(rest.toString('latin1'))) {
      return { type: 'broken' };
    }
    return { type: 'complete', rest };
  }

  private end(readEnd: () => RelayEnd): void {
    if (this.state === 'confirming') {
      this.heldEnd ??= readEnd;
    } else if (this.state !== 'ended') {
      this.finish(readEnd());
    }
  }

  private finish(end: RelayEnd): void {
    this.state = 'ended';
    this.resolve(end);
  }

  /** Ends the relay after an exception: the last events may not have been passed on. */
  private fail(cause: unknown): void {
    if (this.state !== 'ended') {
      this.state = 'ended';
      this.options.position.lose();
      this.reject(cause);
    }
  }
}

/**
 * Relays the events of a server's stream to the caller as they arrive.
 *
 * @param response - stream of the server, not read yet
 * @param exchange - exchange with the caller
 * @param options - position in the stream and progress callbacks
 * @returns how the relay ended; rejects only when an exception is thrown, and gives the position up
 */
export default function relayStream(
  response: IncomingMessage,
  exchange: CallerExchange,
  options: RelayOptions,
): Promise<RelayEnd> {
  return new Promise((resolve, reject) => {
    new Relay(response, exchange, options, resolve, reject).start();
  });
}
