/**
 * Broken variants of the claim machines, one for each safeguard: a checker that misses one of them proves nothing.
 *
 * @module
 */

import type { StoreError } from "../src/adapters/mod.ts";
import {
  type ClaimAsk,
  type ClaimEvent,
  ClaimOwner,
  ClaimWitness,
  type Now,
  type ReplicaAnswer,
  type ReplicaMessage,
} from "../src/agreement/mod.ts";
import type { Variant } from "./fuzz_claims_world.ts";

class GrantsBeforeCommit extends ClaimOwner {
  protected override admit(now: Now, ask: ClaimAsk, ticket: number): void {
    super.admit(now, ask, ticket);
    const dispatchBeforeMonoMs = now.monoMs + this.limits.dispatchMs;
    const { claimId } = ask;
    this.reply(ticket, { type: "granted", claimId, dispatchBeforeMonoMs });
  }
}

class TakesLostAsWritten extends ClaimOwner {
  protected override writeFailed(now: Now, error: StoreError): void {
    if (error.kind === "lost") this.committed(now, this.at.rev + 1);
    else super.writeFailed(now, error);
  }
}

class TakesLostAsNotWritten extends ClaimOwner {
  protected override writeFailed(now: Now, error: StoreError): void {
    if (error.kind === "lost") this.dropBatch();
    super.writeFailed(now, error);
  }
}

class GrantsWithoutPromise extends ClaimOwner {
  protected override promisesHold(): boolean {
    return true;
  }
}

class GrantsUnheld extends ClaimOwner {
  protected override heldN(): number {
    return Infinity;
  }
}

class DeniesAtOnce extends ClaimOwner {
  protected override denies(): boolean {
    return true;
  }
}

class BreaksPromise extends ClaimWitness {
  override get promisedUntilMonoMs(): number {
    return -Infinity;
  }
}

class ForgetsGrants extends ClaimWitness {
  override missing(): ClaimEvent[] {
    return [];
  }
}

class PromisesWhileTaking extends ClaimWitness {
  override startTake(): void {}
}

class PromisesForPredecessor extends ClaimWitness {
  override accept(
    message: ReplicaMessage,
    monoMs: number,
    promiseMs: number,
  ): ReplicaAnswer {
    super.accept(message, monoMs, promiseMs);
    return { accepted: true };
  }
}

/** The variants by name. */
export const brokenVariants: Readonly<Record<string, Variant>> = {
  "dispatch before the claim is committed": {
    makeOwner: (...args) => new GrantsBeforeCommit(...args),
  },
  "a lost answer taken for written": {
    makeOwner: (...args) => new TakesLostAsWritten(...args),
  },
  "a lost answer taken for not written": {
    makeOwner: (...args) => new TakesLostAsNotWritten(...args),
  },
  "grants from memory without the promise": {
    makeOwner: (...args) => new GrantsWithoutPromise(...args),
  },
  "grants from memory that no witness holds": {
    makeOwner: (...args) => new GrantsUnheld(...args),
  },
  "a denial without a write": {
    makeOwner: (...args) => new DeniesAtOnce(...args),
  },
  "take-over without waiting out the promise": {
    makeWitness: () => new BreaksPromise(),
  },
  "take-over that forgets the grants from memory": {
    makeWitness: () => new ForgetsGrants(),
  },
  "a promise while a take-over is under way": {
    makeWitness: () => new PromisesWhileTaking(),
  },
  "a promise that is answered but not kept": {
    makeWitness: () => new PromisesForPredecessor(),
  },
  "a store that does not compare": { ignoresRev: true },
};
