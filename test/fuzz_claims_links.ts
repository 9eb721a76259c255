/**
 * The links between the VMs of a claims world: cut in both directions, or held back in one.
 *
 * @module
 */

interface Packet {
  readonly from: number;
  readonly to: number;
  readonly run: () => void;
}

/** Rounds of one delivery: what is delivered may send more. */
const DELIVERY_ROUNDS = 4;

function linkKey(a: number, b: number): string {
  return a < b ? `${a}-${b}` : `${b}-${a}`;
}

/** Puts a value into a set, or takes it out. */
export function toggle<T>(set: Set<T>, value: T): void {
  if (!set.delete(value)) set.add(value);
}

/** See the module. */
export class FuzzLinks {
  readonly #cutLinks = new Set<string>();
  readonly #heldLinks = new Set<string>();
  #packets: Packet[] = [];
  #heldPackets: Packet[] = [];

  /** The links that are cut, for the trace. */
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

  /** Ends all faults but leaves what is held until {@link FuzzLinks.release}. */
  endFaults(): void {
    this.#cutLinks.clear();
    this.#heldLinks.clear();
  }

  /** Sends to another VM; `lost` is told if the link is cut. */
  send(from: number, to: number, run: () => void, onLost?: () => void): void {
    if (this.isCut(from, to)) return onLost?.();
    const packet = { from, to, run };
    if (this.#heldLinks.has(`${from}>${to}`)) this.#heldPackets.push(packet);
    else this.#packets.push(packet);
  }

  /** Brings a VM the answer of its own call. */
  sendAnswer(vm: number, run: () => void): void {
    this.#packets.push({ from: vm, to: vm, run });
  }

  /** Sends on what no link holds back any more. */
  release(): void {
    const released = this.#heldPackets.filter((p) =>
      !this.#heldLinks.has(`${p.from}>${p.to}`)
    );
    this.#heldPackets = this.#heldPackets.filter((p) => !released.includes(p));
    this.#packets.push(...released);
  }

  /** Delivers in order; what is for a paused VM waits. */
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
