import {
  FORKING_MOVES,
  fuzzTable,
  MOVES_WITHOUT_RESTORE,
} from "../../test/fuzz_table.ts";
import { MOVE_TYPES } from "../../test/fuzz_table_model.ts";
import { INTACT_MACHINES, type Machines } from "../../test/fuzz_table_world.ts";
import { describe, it } from "../base/describe.ts";
import {
  EditAttempt,
  type EditStep,
  type HeadRelation,
  type LoggedEdit,
  type TableHead,
  TableLog,
  type WriteAnswer,
} from "./mod.ts";

/** Schedules for each seed. Set FUZZ_RUNS for a longer run. */
const runs = Number(process.env.FUZZ_RUNS ?? 3000);

describe("table log", () => {
  // Operators race from several VMs, answers are lost before and after the write takes effect, VMs crash, pushes are
  // repeated and reordered, and snapshots truncate the log. Every accepted edit is in the log once, no VM goes back to
  // an older version, and all VMs agree.
  for (const seed of [11, 12, 13]) {
    it(`breaks no rule under faults, seed ${seed}`, (t) => {
      t.is(
        fuzzTable(INTACT_MACHINES, {
          types: MOVES_WITHOUT_RESTORE,
          seed,
          runs,
        }),
        undefined,
      );
    });
  }

  // The same faults, and the store is restored from an old backup at any moment: its head falls below what is in force.
  // No VM follows it back, each VM that reads the head reports the regression, and no version is assigned twice with
  // different rows.
  for (const seed of [21, 22]) {
    it(`breaks no rule when an old backup is restored, seed ${seed}`, (t) => {
      for (const types of [MOVE_TYPES, FORKING_MOVES]) {
        t.is(fuzzTable(INTACT_MACHINES, { types, seed, runs }), undefined);
      }
    });
  }
});

class RollsBack extends TableLog {
  protected override isNewer(): boolean {
    return true;
  }
}

class SkipsGaps extends TableLog {
  protected override nextPending(
    pending: ReadonlyMap<number, LoggedEdit>,
  ): LoggedEdit | undefined {
    const [first] = pending.values();
    if (!first) return undefined;
    return { ...first, version: this.table.version + 1, prevId: this.lastId };
  }
}

class TakesLostForFailed extends EditAttempt {
  override onAnswer(answer: WriteAnswer, log: TableLog): EditStep {
    if (answer !== "lost") return super.onAnswer(answer, log);
    return { type: "conflict", conflicts: [] };
  }
}

class TakesLostForDone extends EditAttempt {
  override onAnswer(answer: WriteAnswer, log: TableLog): EditStep {
    return super.onAnswer(answer === "lost" ? "done" : answer, log);
  }
}

class IgnoresConflicts extends EditAttempt {
  protected override findConflicts(): never[] {
    return [];
  }
}

class FollowsAnyHistory extends TableLog {
  protected override follows(): boolean {
    return true;
  }
}

class ReportsStaleHeads extends TableLog {
  override compareHead(head: TableHead | undefined): HeadRelation {
    return super.compareHead(head, this.table.version);
  }
}

class LoadsAnyHistory extends TableLog {
  protected override continues(): boolean {
    return true;
  }
}

const broken: Record<string, Machines> = {
  "a log that loads older tables": {
    ...INTACT_MACHINES,
    makeLog: () => new RollsBack(),
  },
  "a log that skips gaps": {
    ...INTACT_MACHINES,
    makeLog: () => new SkipsGaps(),
  },
  "an edit that takes a lost answer for a failure": {
    ...INTACT_MACHINES,
    makeAttempt: (proposal) => new TakesLostForFailed(proposal),
  },
  "an edit that takes a lost answer for a success": {
    ...INTACT_MACHINES,
    makeAttempt: (proposal) => new TakesLostForDone(proposal),
  },
  "an edit that overwrites a concurrent change": {
    ...INTACT_MACHINES,
    makeAttempt: (proposal) => new IgnoresConflicts(proposal),
  },
  "a log that follows another history": {
    ...INTACT_MACHINES,
    makeLog: () => new FollowsAnyHistory(),
  },
  "a log that reports a regression for a stale head": {
    ...INTACT_MACHINES,
    makeLog: () => new ReportsStaleHeads(),
  },
  "a log that loads another history": {
    ...INTACT_MACHINES,
    makeLog: () => new LoadsAnyHistory(),
  },
};

describe("table log > checker", () => {
  for (const [title, machines] of Object.entries(broken)) {
    it(`finds ${title}`, (t) => {
      const found = [MOVE_TYPES, FORKING_MOVES].some((types) =>
        fuzzTable(machines, { types, seed: 31, runs: 10_000 }) !== undefined
      );
      t.true(found);
    });
  }
});
