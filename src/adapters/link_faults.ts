/**
 * Faults of the links between VMs that a test or an operator can inject at run time: cut, slow or one-way links. They
 * are applied inside the transport itself, so that a fault test needs no privileges on the machine.
 *
 * @module
 */

/** The other end of a link, as far as it is known. Its VM id and region are unknown until the handshake. */
export interface Peer {
  /** `host:port` that the peer listens on; unknown for a link that the peer opened. */
  readonly address?: string;
  readonly vmId?: string;
  readonly region?: string;
}

/** A direction as seen from this VM: it sends `out` messages and receives `in` messages. */
export type LinkDirection = "in" | "out";

/** A fault. A peer must match every field that is set in `peer`; an empty `peer` matches all peers. */
export interface LinkFault {
  readonly peer: Peer;
  /** The fault applies to both directions if this is absent. */
  readonly direction?: LinkDirection;
  /** Drops every message. */
  readonly cut?: boolean;
  /** Delays every message by this long. */
  readonly delayMs?: number;
}

/** The combined effect of all matching faults on one message. */
export interface LinkEffect {
  readonly cut: boolean;
  readonly delayMs: number;
}

const NO_EFFECT: LinkEffect = { cut: false, delayMs: 0 };

/** The faults that one VM applies to its links. */
export class LinkFaults {
  readonly #faults = new Map<string, LinkFault>();

  /** Sets the fault `name` and replaces an earlier fault of that name. */
  set(name: string, fault: LinkFault): void {
    this.#faults.set(name, fault);
  }

  /** Removes one fault, or all faults if `name` is absent. */
  clear(name?: string): void {
    if (name === undefined) this.#faults.clear();
    else this.#faults.delete(name);
  }

  /** Returns the active faults by name. */
  list(): Record<string, LinkFault> {
    return Object.fromEntries(this.#faults);
  }

  /** Returns the effect on a message to or from `peer`: a cut if any matching fault cuts, and the longest delay. */
  effect(peer: Peer, direction: LinkDirection): LinkEffect {
    if (this.#faults.size === 0) return NO_EFFECT;
    let cut = false;
    let delayMs = 0;
    for (const fault of this.#faults.values()) {
      if (fault.direction && fault.direction !== direction) continue;
      if (!matches(fault.peer, peer)) continue;
      cut ||= fault.cut ?? false;
      delayMs = Math.max(delayMs, fault.delayMs ?? 0);
    }
    return { cut, delayMs };
  }

  /** Whether a connection to `peer` is blocked. As with TCP, a cut in either direction blocks it. */
  blocks(peer: Peer): boolean {
    return this.effect(peer, "out").cut || this.effect(peer, "in").cut;
  }
}

function matches(pattern: Peer, peer: Peer): boolean {
  return (pattern.address === undefined || pattern.address === peer.address) &&
    (pattern.vmId === undefined || pattern.vmId === peer.vmId) &&
    (pattern.region === undefined || pattern.region === peer.region);
}
