/**
 * Faults of the links between VMs that a test or an operator can set at run time: cut, slow or one-way. They act inside
 * our own transport, so that a fault case needs no privileges on the machine.
 *
 * @module
 */

/** The other end of a link, as far as it is known: its names are unknown until the handshake. */
export interface Peer {
  /** `host:port` it listens on; unknown for a link it opened itself. */
  readonly address?: string;
  readonly vmId?: string;
  readonly region?: string;
}

/** Seen from this VM: `out` is what it sends, `in` what it receives. */
export type LinkDirection = "in" | "out";

/** One fault. Every field that is given in `peer` must match; an empty `peer` matches all. */
export interface LinkFault {
  readonly peer: Peer;
  /** Both directions if absent. */
  readonly direction?: LinkDirection;
  /** Loses every message. */
  readonly cut?: boolean;
  /** Holds every message back for this long. */
  readonly delayMs?: number;
}

/** What faults do to one message. */
export interface LinkEffect {
  readonly cut: boolean;
  readonly delayMs: number;
}

const NO_EFFECT: LinkEffect = { cut: false, delayMs: 0 };

/** The faults in force at one VM's end of its links. */
export class LinkFaults {
  readonly #faults = new Map<string, LinkFault>();

  /** Sets the fault `name`, in place of an earlier one of that name. */
  set(name: string, fault: LinkFault): void {
    this.#faults.set(name, fault);
  }

  /** Mends one fault, or all. */
  clear(name?: string): void {
    if (name === undefined) this.#faults.clear();
    else this.#faults.delete(name);
  }

  /** The faults in force by name. */
  list(): Record<string, LinkFault> {
    return Object.fromEntries(this.#faults);
  }

  /** What happens to a message to or from `peer`: the worst of all matching faults. */
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

  /** Whether a connection to `peer` can be made: like TCP, it needs both directions. */
  blocks(peer: Peer): boolean {
    return this.effect(peer, "out").cut || this.effect(peer, "in").cut;
  }
}

function matches(pattern: Peer, peer: Peer): boolean {
  return (pattern.address === undefined || pattern.address === peer.address) &&
    (pattern.vmId === undefined || pattern.vmId === peer.vmId) &&
    (pattern.region === undefined || pattern.region === peer.region);
}
