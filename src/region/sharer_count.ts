/**
 * The number of VMs among which a limit for all VMs together is divided.
 *
 * @module
 */

/** Number of VMs that are assumed while a VM has heard of no other since its start. */
const ASSUMED_VMS = 128;
/**
 * For at least so long the largest number counts. VMs that fall silent may be cut off and use their parts all the while;
 * a fleet that has really shrunk retries a little less for that time.
 */
const REMEMBERED_MS = 600_000;

/** Divides by the largest number of VMs that was known lately: a VM that hears nobody takes no larger part for that. */
export class SharerCount {
  readonly #hasOthers: boolean;
  #most = 1;
  #mostBefore = 1;
  #periodEndMs: number;

  /** `hasOthers` tells whether there are other VMs, whether or not this one hears them. */
  constructor(hasOthers: boolean, nowMs: number) {
    this.#hasOthers = hasOthers;
    this.#periodEndMs = nowMs + REMEMBERED_MS;
  }

  /** Notes how many VMs are known now, this one included. */
  note(vmCount: number, nowMs: number): void {
    if (nowMs >= this.#periodEndMs) {
      this.#mostBefore = this.#most;
      this.#most = 1;
      this.#periodEndMs = nowMs + REMEMBERED_MS;
    }
    this.#most = Math.max(this.#most, vmCount);
  }

  /** The number to divide by. */
  get count(): number {
    const known = Math.max(this.#most, this.#mostBefore);
    return known === 1 && this.#hasOthers ? ASSUMED_VMS : known;
  }
}
