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
const ROUNDS = 4;

function link(a: number, b: number): string {
  return a < b ? `${a}-${b}` : `${b}-${a}`;
}

/** Puts a value into a set, or takes it out. */
export function toggle<T>(set: Set<T>, value: T): void {
  if (!set.delete(value)) set.add(value);
}

/** See the module. */
export class FuzzLinks {
  readonly #cut = new Set<string>();
  readonly #holding = new Set<string>();
  #packets: Packet[] = [];
  #held: Packet[] = [];

  /** The links that are cut, for the trace. */
  get cutLinks(): readonly string[] {
    return [...this.#cut];
  }

  isCut(a: number, b: number): boolean {
    return this.#cut.has(link(a, b));
  }

  cut(a: number, b: number): void {
    this.#cut.add(link(a, b));
  }

  toggleCut(a: number, b: number): void {
    toggle(this.#cut, link(a, b));
  }

  toggleHolding(from: number, to: number): void {
    toggle(this.#holding, `${from}>${to}`);
  }

  /** Ends all faults but leaves what is held until {@link FuzzLinks.release}. */
  heal(): void {
    this.#cut.clear();
    this.#holding.clear();
  }

  /** Sends to another VM; `lost` is told if the link is cut. */
  post(from: number, to: number, run: () => void, lost?: () => void): void {
    if (this.isCut(from, to)) return lost?.();
    const packet = { from, to, run };
    if (this.#holding.has(`${from}>${to}`)) this.#held.push(packet);
    else this.#packets.push(packet);
  }

  /** Brings a VM the answer of its own call. */
  answer(slot: number, run: () => void): void {
    this.#packets.push({ from: slot, to: slot, run });
  }

  /** Sends on what no link holds back any more. */
  release(): void {
    const free = this.#held.filter((p) =>
      !this.#holding.has(`${p.from}>${p.to}`)
    );
    this.#held = this.#held.filter((p) => !free.includes(p));
    this.#packets.push(...free);
  }

  /** Delivers in order; what is for a paused VM waits. */
  deliver(isPaused: (slot: number) => boolean): void {
    for (let round = 0; round < ROUNDS; round++) {
      const packets = this.#packets;
      this.#packets = [];
      for (const packet of packets) {
        if (isPaused(packet.to)) this.#packets.push(packet);
        else packet.run();
      }
    }
  }
}
