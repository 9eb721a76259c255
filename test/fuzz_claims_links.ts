/**
 * The links between the VMs of a claims simulation. A link can be cut in both directions or held in one, which delays
 * its packets.
 *
 * @module
 */

interface Packet {
  readonly from: number;
  readonly to: number;
  readonly run: () => void;
}

/** Rounds of one delivery. A delivered packet may send more, which the next round delivers. */
const DELIVERY_ROUNDS = 4;

function linkKey(a: number, b: number): string {
  return a < b ? `${a}-${b}` : `${b}-${a}`;
}

/** Adds a value to a set, or removes it if it is there. */
export function toggle<T>(set: Set<T>, value: T): void {
  if (!set.delete(value)) set.add(value);
}

/** Queues packets between VMs, which are named by their index. */
export class FuzzLinks {
  readonly #cutLinks = new Set<string>();
  readonly #heldLinks = new Set<string>();
  #packets: Packet[] = [];
  #heldPackets: Packet[] = [];

  /** The links that are cut, for the trace of a schedule. */
  get cutLinks(): readonly string[] {
    return [...this.#cutLinks];
  }

  isCut(a: number, b: number): boolean {
    return this.#cutLinks.has(linkKey(a, b));
  }

  cut(a: number, b: number): void {
    this.#cutLinks.add(linkKey(a, b));
  }

  toggleCut(a: number, b: number): void {
    toggle(this.#cutLinks, linkKey(a, b));
  }

  toggleHold(from: number, to: number): void {
    toggle(this.#heldLinks, `${from}>${to}`);
  }

  /** Ends all faults. Held packets stay held until {@link FuzzLinks.release}. */
  endFaults(): void {
    this.#cutLinks.clear();
    this.#heldLinks.clear();
  }

  /** Sends a packet to another VM. If the link is cut, calls `onLost` instead. */
  send(from: number, to: number, run: () => void, onLost?: () => void): void {
    if (this.isCut(from, to)) return onLost?.();
    const packet = { from, to, run };
    if (this.#heldLinks.has(`${from}>${to}`)) this.#heldPackets.push(packet);
    else this.#packets.push(packet);
  }

  /** Queues the answer to a VM's own call of the store. */
  sendAnswer(vm: number, run: () => void): void {
    this.#packets.push({ from: vm, to: vm, run });
  }

  /** Queues the packets of links that are no longer held. */
  release(): void {
    const released = this.#heldPackets.filter((p) =>
      !this.#heldLinks.has(`${p.from}>${p.to}`)
    );
    this.#heldPackets = this.#heldPackets.filter((p) => !released.includes(p));
    this.#packets.push(...released);
  }

  /** Delivers packets in order. Those for a paused VM stay queued. */
  deliver(isPaused: (vm: number) => boolean): void {
    for (let round = 0; round < DELIVERY_ROUNDS; round++) {
      const packets = this.#packets;
      this.#packets = [];
      for (const packet of packets) {
        if (isPaused(packet.to)) this.#packets.push(packet);
        else packet.run();
      }
    }
  }
}
