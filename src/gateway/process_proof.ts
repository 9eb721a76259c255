/**
 * Which of this VM's connections to an upstream's address are to the process that the upstream's entry describes.
 *
 * @module
 */

/** Which process of an upstream is on a connection. */
export type ProcessVerdict =
  /** The one that the entry describes. */
  | "confirmed"
  /** Another one, of which nothing is known. */
  | "replaced"
  /** The entry or the upstream does not tell. */
  | "unknown"
  /** There was no answer in time. */
  | "unproven";

/** The answer of a process to the question which one it is. */
export interface ProcessAnswer {
  readonly verdict: ProcessVerdict;
  /** The last connection that had been opened before the one for the question; see {@link Exchange.connection}. */
  readonly lastBefore: number;
}

/**
 * Tracks what is proven of an upstream's connections. A process listens from its start to its end, and a VM that knows
 * its entry connects after its start. So once it has answered on one connection, all that stood before this one was begun
 * are its own too. Of later ones nothing is known: it may have been replaced meanwhile.
 */
export class ProcessProof {
  /** The last connection that is known to be to the process. */
  #provenTo = -Infinity;
  #isReplaced = false;
  #tells = true;
  #question: Promise<void> | undefined;

  /** What is known of a connection; `undefined` if the upstream has to be asked. */
  verdictOn(connection: number | undefined): ProcessVerdict | undefined {
    if (connection !== undefined && connection <= this.#provenTo) {
      return "confirmed";
    }
    if (this.#isReplaced) return "replaced";
    return this.#tells ? undefined : "unknown";
  }

  /** Takes an answer of the process that listens at the address. */
  note({ verdict, lastBefore }: ProcessAnswer): void {
    if (verdict === "replaced") this.#isReplaced = true;
    if (verdict === "unknown") this.#tells = false;
    if (verdict !== "confirmed") return;
    this.#provenTo = Math.max(this.#provenTo, lastBefore);
  }

  /** Finds out about a connection. `ask` opens another one for it; only one question is under way at a time. */
  async prove(
    connection: number | undefined,
    ask: () => Promise<ProcessAnswer>,
  ): Promise<ProcessVerdict> {
    // One that is under way may be older than the connection.
    if (!this.verdictOn(connection) && this.#question) await this.#question;
    if (!this.verdictOn(connection)) await (this.#question ??= this.#ask(ask));
    return this.verdictOn(connection) ?? "unproven";
  }

  async #ask(ask: () => Promise<ProcessAnswer>): Promise<void> {
    try {
      this.note(await ask());
    } finally {
      this.#question = undefined;
    }
  }
}
