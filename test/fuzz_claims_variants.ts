/**
 * Broken variants of the claim state machines, one for each safeguard. A checker that misses one of them proves nothing
 * about its safeguard.
 *
 * @module
 */

import { ok, type Result } from "neverthrow";
import type { StoreError } from "../src/adapters/mod.ts";
import {
  ClaimCommitter,
  type ClaimEvent,
  ClaimOwner,
  type ClaimRequest,
  ClaimWitness,
  type CommitOutcome,
  type Now,
  type ReplicaAnswer,
  type ReplicaMessage,
} from "../src/agreement/mod.ts";
import type { Variant } from "./fuzz_claims_vms.ts";

class GrantsBeforeCommit extends ClaimOwner {
  protected override admit(now: Now, ask: ClaimRequest, ticket: number): void {
    super.admit(now, ask, ticket);
    const dispatchBeforeMonoMs = now.monoMs + this.limits.dispatchMs;
    const { claimId } = ask;
    this.reply(ticket, { type: "granted", claimId, dispatchBeforeMonoMs });
  }
}

class TreatsLostAsWritten extends ClaimCommitter {
  override onWritten(
    now: Now,
    result: Result<number, StoreError>,
  ): CommitOutcome {
    const isLost = result.isErr() && result.error.kind === "lost";
    return super.onWritten(now, isLost ? ok(this.storedHead.rev + 1) : result);
  }
}

class TreatsLostAsNotWritten extends ClaimCommitter {
  override onWritten(
    now: Now,
    result: Result<number, StoreError>,
  ): CommitOutcome {
    if (result.isErr() && result.error.kind === "lost") this.dropBatch();
    return super.onWritten(now, result);
  }
}

class GrantsWithoutPromise extends ClaimOwner {
  protected override arePromisesValid(): boolean {
    return true;
  }
}

class GrantsWithoutReplica extends ClaimOwner {
  protected override replicatedN(): number {
    return Infinity;
  }
}

class DeniesWithoutWrite extends ClaimOwner {
  protected override canDenyWithoutWrite(): boolean {
    return true;
  }
}

class BreaksPromise extends ClaimWitness {
  override get promisedUntilMonoMs(): number {
    return -Infinity;
  }
}

class ForgetsGrants extends ClaimWitness {
  override uncommittedEvents(): ClaimEvent[] {
    return [];
  }
}

class PromisesDuringTakeover extends ClaimWitness {
  override startTakeover(): void {}
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

/** Returns a factory of owners that commit with this class. */
function makeOwnerWith(
  Committer: typeof TreatsLostAsWritten | typeof TreatsLostAsNotWritten,
): NonNullable<Variant["makeOwner"]> {
  return (me, keys, limits, random, out, outage, owned) => {
    const committer = new Committer(me, keys, limits, random, out, owned);
    return new ClaimOwner(
      me,
      keys,
      limits,
      random,
      out,
      outage,
      owned,
      committer,
    );
  };
}

/** The variants, by the fault that each has. */
export const BROKEN_VARIANTS: Readonly<Record<string, Variant>> = {
  "dispatch before the claim is committed": {
    makeOwner: (...args) => new GrantsBeforeCommit(...args),
  },
  "a lost answer treated as a completed write": {
    makeOwner: makeOwnerWith(TreatsLostAsWritten),
  },
  "a lost answer treated as a failed write": {
    makeOwner: makeOwnerWith(TreatsLostAsNotWritten),
  },
  "grants from memory without valid promises": {
    makeOwner: (...args) => new GrantsWithoutPromise(...args),
  },
  "grants from memory that the witnesses do not hold": {
    makeOwner: (...args) => new GrantsWithoutReplica(...args),
  },
  "a lookup answered as absent without a write": {
    makeOwner: (...args) => new DeniesWithoutWrite(...args),
  },
  "a takeover that does not wait for the end of the promise": {
    makeWitness: () => new BreaksPromise(),
  },
  "a takeover that drops the grants from memory": {
    makeWitness: () => new ForgetsGrants(),
  },
  "a promise during a takeover": {
    makeWitness: () => new PromisesDuringTakeover(),
  },
  "a promise that is confirmed but not kept": {
    makeWitness: () => new PromisesForPredecessor(),
  },
  "a store that does not compare revisions": { ignoresRev: true },
};
