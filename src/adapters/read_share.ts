/**
 * Shares the event loop among connections, so that one that sends much in small pieces leaves time for all others.
 *
 * @module
 */

import type { Socket } from "node:net";
import { type Clock, systemClock, type Timer } from "../base/mod.ts";
import { ReadGate } from "./read_gate.ts";

/** What large pieces are handled at; a connection is charged only for the time beyond that. */
const BULK_BYTES_PER_MS = 16_384;
/** A read that takes no longer is not charged. */
const FREE_MS = 0.25;
/** Time in one turn of the event loop from which on a connection has to wait for the others. */
const MAX_TURN_MS = 2;
/** Connections that have to wait get one part in this many of the loop's time, all together. */
const SHARE_DIVISOR = 4;
/** A turn counts as no longer than this, so that pauses stay short. */
const MAX_CHARGE_MS = 50;
/** Longest pause before the next connection is read, however many were stopped in one turn. */
const MAX_PAUSE_MS = 200;
/** Half of what a connection was charged is forgotten in this time, when it is decided who is read on first. */
const CHARGE_HALF_LIFE_MS = 1_000;
/** Time for a connection to be read before the next one is. */
const MIN_GAP_MS = 1;
/** Time charged to a connection from which on it is reported: more than one turn's. */
const REPORTED_MS = 60;

const MICROS_PER_MS = 1_000;

/** Processor time that this process has used, in ms. */
function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROS_PER_MS;
}

/** A connection that has taken much of the event loop's time. */
export interface BusyConnection {
  /** `IP:PORT` of the other side. */
  readonly peer: string;
  /** `IP:PORT` of this side, which tells callers, other VMs and upstreams apart. */
  readonly local: string;
  /** Pieces that have arrived on it. */
  readonly pieces: number;
  /** Time that they took beyond that of as many bytes in large pieces. */
  readonly chargedMs: number;
}

/** Measures what the messages of one connection cost. */
export class ReadMeter {
  readonly #share: ReadShare;
  readonly #socket: Socket;
  readonly #gate: ReadGate;
  #startMonoMs = 0;
  #startProcessorMs = 0;
  #lastMonoMs = 0;
  #readBytes = 0;
  /** What earlier reads of this turn have cost. */
  #earlierMs = 0;
  #pieces = 0;
  #chargedMs = 0;
  #recentMs = 0;
  #chargedMonoMs = 0;
  #isReported = false;

  constructor(share: ReadShare, socket: Socket) {
    this.#share = share;
    this.#socket = socket;
    this.#gate = new ReadGate(socket);
  }

  /** Whether the connection waits for the others. */
  get isStopped(): boolean {
    return this.#gate.isClosed;
  }

  /** Counts a piece that arrived. */
  countPiece(): void {
    this.#pieces++;
  }

  /** Measures from now on, as what is handled next doesn't follow closely on what was before. */
  beginRead(): void {
    const processorMs = this.#share.processorMs();
    this.#earlierMs = this.#overdrawnMs(processorMs);
    this.#readBytes = 0;
    this.#startProcessorMs = processorMs;
    this.#startMonoMs = this.#share.clock.monoMs();
    this.#lastMonoMs = this.#startMonoMs;
  }

  /** Notes that more of a measured read arrived. */
  noteBytes(bytes: number): void {
    this.#readBytes += bytes;
  }

  /** Notes that what arrived is handled so far. Stops the connection if it has had its share of this turn. */
  noteHandled(): void {
    this.#lastMonoMs = this.#share.clock.monoMs();
    const wallMs = this.#overdrawnMs(Infinity);
    if (wallMs === 0) return;
    this.#share.settleAfterTurn(this);
    if (wallMs < MAX_TURN_MS || this.isStopped) return;
    const overdrawnMs = this.#overdrawnMs(this.#share.processorMs());
    if (overdrawnMs >= MAX_TURN_MS) this.#gate.close();
  }

  /** Lets the connection be read again. Returns whether it was stopped. */
  release(): boolean {
    const wasStopped = this.#gate.isClosed;
    this.#gate.open();
    return wasStopped;
  }

  /**
   * Time that this turn has taken beyond that of as many bytes in large pieces. A process that had no processor meanwhile
   * has used less than what passed.
   */
  #overdrawnMs(processorMs: number): number {
    const usedMs = Math.min(
      this.#lastMonoMs - this.#startMonoMs,
      processorMs - this.#startProcessorMs,
    );
    const freeMs = FREE_MS + this.#readBytes / BULK_BYTES_PER_MS;
    return this.#earlierMs + Math.max(0, usedMs - freeMs);
  }

  /** Charges the connection for its turn, which is over, if it was stopped; returns the time. */
  charge(): number {
    // Others waited for all the time that passed, also where the process had no processor.
    const ms = Math.min(MAX_CHARGE_MS, this.#overdrawnMs(Infinity));
    this.#earlierMs = 0;
    this.#startMonoMs = this.#lastMonoMs;
    if (!this.isStopped) return 0;
    this.#chargedMs += ms;
    this.#recentMs = this.recentMs + ms;
    this.#chargedMonoMs = this.#share.clock.monoMs();
    return ms;
  }

  /** What the connection was charged lately. */
  get recentMs(): number {
    const agoMs = this.#share.clock.monoMs() - this.#chargedMonoMs;
    return this.#recentMs * 0.5 ** (agoMs / CHARGE_HALF_LIFE_MS);
  }

  /** Returns what there is to report of the connection, once. */
  takeReport(): BusyConnection | undefined {
    if (this.#isReported || this.#chargedMs < REPORTED_MS) return undefined;
    this.#isReported = true;
    const { remoteAddress, remotePort, localAddress, localPort } = this.#socket;
    return {
      peer: `${remoteAddress}:${remotePort}`,
      local: `${localAddress}:${localPort}`,
      pieces: this.#pieces,
      chargedMs: Math.round(this.#chargedMs),
    };
  }
}

/**
 * Stops connections that take too much of a turn of the event loop. They are read on one after the other, those that
 * took least first, with pauses that depend on what they took: many of them together take no more than a few.
 */
export class ReadShare {
  readonly clock: Clock;
  /** Reads the processor time that this process has used, in ms. */
  readonly processorMs: () => number;
  readonly #meters = new WeakMap<Socket, ReadMeter>();
  readonly #listeners = new Set<(busy: BusyConnection) => void>();
  /** Connections that took much in this turn. */
  #settling = new Set<ReadMeter>();
  /** The connections that wait to be read on. */
  readonly #waiting = new Set<ReadMeter>();
  /** When the next of them is read on. */
  #nextMonoMs = 0;
  #timer: Timer | undefined;

  constructor(clock: Clock, processorMs: () => number = readProcessorMs) {
    this.clock = clock;
    this.processorMs = processorMs;
  }

  /** Calls `listener` at most once for each connection that has taken much time, until the returned timer is closed. */
  onBusy(listener: (busy: BusyConnection) => void): Timer {
    this.#listeners.add(listener);
    return { close: () => void this.#listeners.delete(listener) };
  }

  /** The meter of a connection. */
  meterOf(socket: Socket): ReadMeter {
    let meter = this.#meters.get(socket);
    if (!meter) {
      meter = new ReadMeter(this, socket);
      this.#meters.set(socket, meter);
    }
    return meter;
  }

  /** Charges a connection once this turn of the event loop is over. */
  settleAfterTurn(meter: ReadMeter): void {
    if (this.#settling.size === 0) setImmediate(() => this.#settle());
    this.#settling.add(meter);
  }

  #settle(): void {
    const meters = this.#settling;
    this.#settling = new Set();
    for (const meter of meters) this.#settleMeter(meter);
    this.#schedule();
  }

  #settleMeter(meter: ReadMeter): void {
    const ms = meter.charge();
    if (!meter.isStopped || this.#waiting.has(meter)) return;
    this.#pauseFor(ms * (SHARE_DIVISOR - 1));
    this.#waiting.add(meter);
    this.#report(meter);
  }

  #pauseFor(ms: number): void {
    const nowMs = this.clock.monoMs();
    const nextMonoMs = Math.max(this.#nextMonoMs, nowMs) + ms;
    this.#nextMonoMs = Math.min(nextMonoMs, nowMs + MAX_PAUSE_MS);
  }

  #report(meter: ReadMeter): void {
    const busy = meter.takeReport();
    if (!busy) return;
    for (const listener of this.#listeners) listener(busy);
  }

  #schedule(): void {
    this.#timer?.close();
    this.#timer = undefined;
    if (this.#waiting.size === 0) return;
    const delayMs = Math.max(
      MIN_GAP_MS,
      this.#nextMonoMs - this.clock.monoMs(),
    );
    this.#timer = this.clock.after(delayMs, () => this.#releaseNext());
  }

  #releaseNext(): void {
    const inOrder = [...this.#waiting].sort((a, b) => a.recentMs - b.recentMs);
    for (const meter of inOrder) {
      this.#waiting.delete(meter);
      // One whose message has ended meanwhile is read already.
      if (meter.release()) break;
    }
    this.#schedule();
  }
}

/** The share of this process, which has one event loop. */
export const readShare = new ReadShare(systemClock);
