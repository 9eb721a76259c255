/**
 * Stops the reading of a connection, whatever reads from it.
 *
 * @module
 */

import { Socket } from "node:net";

/** What pauses and resumes a connection, as far as it isn't the socket's own. */
type FlowMethods = Partial<Pick<Socket, "pause" | "resume">>;

/** Those that others have put on a socket in place of its own. */
function ownFlowMethods(socket: Socket): FlowMethods {
  const methods: FlowMethods = {};
  for (const name of ["pause", "resume"] as const) {
    if (Object.hasOwn(socket, name)) methods[name] = socket[name];
  }
  return methods;
}

/** The gates that hold a connection back now. */
const closedGates = new WeakMap<Socket, ReadGate>();

/** Reads on from a connection, past what others have put in place of its `resume`; a closed gate holds it back. */
export function readOn(socket: Socket): void {
  const gate = closedGates.get(socket);
  if (gate) gate.want(true);
  else Socket.prototype.resume.call(socket);
}

/**
 * Holds a connection back. A message that is paused is still parsed until its buffer is full, and one that is read resumes
 * its connection; while a gate is closed, nothing does.
 */
export class ReadGate {
  readonly #socket: Socket;
  #isClosed = false;
  /** Whether the connection goes on being read once the gate opens. */
  #isWanted = true;
  #before: FlowMethods = {};

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Whether the connection is held back. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Holds the connection back, though what was read of it already may still be parsed. */
  close(): void {
    if (this.#isClosed || this.#socket.destroyed) return;
    this.#isClosed = true;
    this.#isWanted = true;
    this.#socket.pause();
    this.#before = ownFlowMethods(this.#socket);
    closedGates.set(this.#socket, this);
    // Node's parser calls these when a message's buffer is full, or is read.
    this.#socket.pause = () => this.want(false);
    this.#socket.resume = () => this.want(true);
  }

  /** Notes whether the connection is to be read once the gate opens. */
  want(isWanted: boolean): Socket {
    this.#isWanted = isWanted;
    return this.#socket;
  }

  /** Lets the connection be read again. */
  open(): void {
    if (!this.#isClosed) return;
    this.#isClosed = false;
    closedGates.delete(this.#socket);
    const methods = this.#socket as FlowMethods;
    delete methods.pause;
    delete methods.resume;
    Object.assign(methods, this.#before);
    if (this.#isWanted && !this.#socket.destroyed) this.#socket.resume();
  }
}
