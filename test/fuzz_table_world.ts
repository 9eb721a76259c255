/**
 * A simulation of a few VMs with the table's state machines, a store and the calls between them. A schedule drives it
 * move by move, and each move checks the rules of the table.
 *
 * @module
 */

import {
  EditAttempt,
  type EditStep,
  type LoggedEdit,
  type RegionRow,
  type SeenHead,
  Table,
  TableLog,
} from "../src/agreement/mod.ts";
import {
  check,
  copyStore,
  formatTable,
  makeEmptyStore,
  type Move,
  type StoreState,
} from "./fuzz_table_model.ts";

/** Factories of the state machines under test. A broken variant replaces one of them. */
export interface Machines {
  makeLog(): TableLog;
  makeAttempt(...input: ConstructorParameters<typeof EditAttempt>): EditAttempt;
}

/** The state machines without a deliberate fault. */
export const INTACT_MACHINES: Machines = {
  makeLog: () => new TableLog(),
  makeAttempt: (proposal) => new EditAttempt(proposal),
};

interface Vm {
  log: TableLog;
  attempts: EditAttempt[];
  /** The write whose answer it waits for. */
  pendingWrite: TableWrite | undefined;
  /** A read of the head whose answer has not been used yet. */
  pendingRead: SeenHead | undefined;
  /** The highest version so far, for the rule that the version never decreases. */
  maxVersion: number;
  /** The last edit found in force, for the rule that an edit in force stays in force. */
  lastId: string;
}

/** A write on its way: `flying` until the store applies or refuses it, `cut` if a restore broke its connection. */
interface TableWrite {
  readonly vm: Vm;
  readonly attempt: EditAttempt;
  readonly step: Extract<EditStep, { type: "write" }>;
  result: "flying" | "done" | "conflict" | "cut";
}

const ROW_COUNT = 3;

function makeRow(id: number, weight: number): RegionRow {
  const upstreamHourMicrocents = 0;
  const name = `r${id}`;
  return {
    kind: "region",
    id: name,
    weight,
    upstreamHourMicrocents,
    linkMs: {},
  };
}

/** Runs moves. Each move checks the rules and throws if one is violated. */
class TableSimulation {
  readonly #machines: Machines;
  readonly #vms: Vm[];
  readonly #tables = new Map<string, Table>([["", Table.empty]]);
  readonly #edits = new Map<string, LoggedEdit>();
  /** Edits that are in the store's log or in force at a VM. */
  #accepted = new Map<string, LoggedEdit>();
  readonly #refused = new Set<string>();
  readonly #unanswered: ConstructorParameters<typeof EditAttempt>[0][] = [];
  readonly #resubmitted = new Set<string>();
  #writes: TableWrite[] = [];
  #store: StoreState = makeEmptyStore();
  #backup: StoreState | undefined;
  #nextId = 1;
  #isRestored = false;

  constructor(machines: Machines, vmCount: number) {
    this.#machines = machines;
    this.#vms = Array.from({ length: vmCount }, () => this.#makeVm());
  }

  runMove(move: Move): void {
    const vm = this.#vms[move.a % this.#vms.length];
    const other = this.#vms[move.b % this.#vms.length];
    switch (move.type) {
      case "propose":
        return this.#propose(vm, move);
      case "read":
        vm.pendingRead = this.#read(vm);
        return;
      case "work":
        return this.#advanceAttempt(vm);
      case "land":
        return this.#applyWrite(this.#pickWrite(move, "flying"));
      case "answer":
        return this.#deliverAnswer(this.#pickWrite(move, "landed"), false);
      case "lose":
        return this.#deliverAnswer(this.#pickWrite(move), true);
      case "push":
        return this.#push(other, vm, move.c);
      case "pull":
        vm.log.load(other.log.image());
        return this.#checkVm(vm);
      case "crash":
        return this.#crash(move.a % this.#vms.length);
      case "snapshot":
        return this.#snapshot(vm);
      case "save":
        this.#backup ??= copyStore(this.#store);
        return;
      case "restore":
        return this.#restore();
      case "resubmit":
        return this.#resubmit(vm);
    }
  }

  /** Completes all writes and attempts, and checks that every VM reaches the newest version. */
  settle(): void {
    for (let i = 0; i < 200 && this.#isBusy(); i++) {
      for (const write of [...this.#writes]) {
        this.#applyWrite(write);
        this.#deliverAnswer(write, false);
      }
      for (const vm of this.#vms) this.#advanceAttempt(vm);
    }
    for (const id of this.#refused) {
      check(!this.#accepted.has(id), `refused edit ${id} is in the log`);
    }
    if (this.#isRestored) return;
    check(!this.#isBusy(), "an edit never ended");
    for (const vm of this.#vms) {
      this.#catchUp(vm, this.#read(vm));
      const { version } = vm.log.table;
      check(version === (this.#store.head?.version ?? 0), "a VM misses edits");
    }
  }

  #makeVm(): Vm {
    const log = this.#machines.makeLog();
    return {
      log,
      attempts: [],
      pendingWrite: undefined,
      pendingRead: undefined,
      maxVersion: 0,
      lastId: "",
    };
  }

  #propose(vm: Vm, move: Move): void {
    const key = `region/r${move.b % ROW_COUNT}`;
    const ifVersion = vm.log.table.get(key)?.version ?? 0;
    const id = `e${this.#nextId++}`;
    const change = move.c % 4 === 0 && ifVersion > 0
      ? { type: "delete" as const, key, ifVersion }
      : {
        type: "put" as const,
        row: makeRow(move.b % ROW_COUNT, this.#nextId),
        ifVersion,
      };
    vm.attempts.push(
      this.#machines.makeAttempt({ id, author: "op", changes: [change] }),
    );
  }

  #resubmit(vm: Vm): void {
    const proposal = this.#unanswered.pop();
    if (!proposal) return;
    this.#resubmitted.add(proposal.id);
    vm.attempts.push(this.#machines.makeAttempt(proposal));
  }

  #advanceAttempt(vm: Vm): void {
    const [attempt] = vm.attempts;
    if (vm.pendingWrite || !attempt) return;
    const maxVersion = Math.max(...this.#vms.map((it) => it.log.table.version));
    const head = vm.pendingRead ?? this.#read(vm);
    vm.pendingRead = undefined;
    this.#catchUp(vm, head);
    const step = attempt.next(vm.log, head, maxVersion, 0);
    if (step.type === "write") {
      const write = { vm, attempt, step, result: "flying" as const };
      vm.pendingWrite = write;
      this.#writes.push(write);
    } else this.#endAttempt(vm, attempt, step);
  }

  #endAttempt(vm: Vm, attempt: EditAttempt, step: EditStep): void {
    const { id } = attempt.proposal;
    if (step.type === "catchUp" || step.type === "write") return;
    vm.attempts = vm.attempts.filter((it) => it !== attempt);
    if (step.type === "accepted") {
      this.#recomputeAccepted();
      check(this.#accepted.has(id), `${id} is reported as accepted but is not`);
    }
    // After a resubmission at another VM, a refusal made without reading the log says nothing about the first attempt.
    const wasRefused = step.type === "conflict" || step.type === "invalid" ||
      (step.type === "regressed" && !step.maybeAccepted &&
        !this.#resubmitted.has(id));
    if (wasRefused && !this.#accepted.has(id)) this.#refused.add(id);
    if (wasRefused && this.#accepted.has(id)) {
      throw new Error(`${id} is in the log but is reported as ${step.type}`);
    }
  }

  #read(vm: Vm): SeenHead {
    const { head, headRev } = this.#store;
    return { head, rev: headRev, readAtVersion: vm.log.table.version };
  }

  #catchUp(vm: Vm, { head, readAtVersion }: SeenHead): void {
    const { log, snapshot } = this.#store;
    const relation = vm.log.compareHead(head, readAtVersion);
    if (relation === "older") {
      check(vm.log.regression !== undefined, "an older store is not reported");
    }
    if (relation === "ahead") {
      const next = vm.log.table.version + 1;
      if (!log.has(next) && snapshot) vm.log.load(snapshot);
      vm.log.offer([...log.values()]);
      vm.log.compareHead(head, readAtVersion);
    }
    this.#checkVm(vm);
  }

  #applyWrite(write: TableWrite | undefined): void {
    if (write?.result !== "flying") return;
    const { edit, head, headRev } = write.step;
    const store = this.#store;
    if (store.headRev !== headRev || store.log.has(edit.version)) {
      write.result = "conflict";
      return;
    }
    write.result = "done";
    store.rev++;
    store.head = head;
    store.headRev = store.rev;
    store.log.set(edit.version, edit);
    this.#record(edit);
  }

  #record(edit: LoggedEdit): void {
    check(!this.#accepted.has(edit.id), `${edit.id} is in the log twice`);
    this.#edits.set(edit.id, edit);
    this.#accepted.set(edit.id, edit);
    const previous = this.#tables.get(edit.prevId)!;
    for (const change of edit.changes) {
      const key = change.type === "put"
        ? `region/${findRegionId(change)}`
        : change.key;
      const current = previous.get(key)?.version ?? 0;
      check(
        current === change.ifVersion,
        `${edit.id} overwrote another's ${key}`,
      );
    }
    this.#tables.set(edit.id, previous.apply(edit));
  }

  #deliverAnswer(write: TableWrite | undefined, isLost: boolean): void {
    if (!write) return;
    if (write.result === "flying" && !isLost) return;
    if (write.result !== "flying") this.#removeWrite(write);
    const { vm, attempt } = write;
    if (vm.pendingWrite !== write) return;
    vm.pendingWrite = undefined;
    const { result } = write;
    const wasReceived = !isLost && result !== "flying" && result !== "cut";
    this.#endAttempt(
      vm,
      attempt,
      attempt.onAnswer(wasReceived ? result : "lost", vm.log),
    );
  }

  #push(from: Vm, to: Vm, c: number): void {
    const edits = [...from.log.recentEdits()];
    const part = edits.slice(c % (edits.length + 1));
    if (c % 2) part.reverse();
    to.log.offer(c % 3 ? part : [...part, ...part.slice(0, 2)]);
    this.#checkVm(to);
  }

  #crash(index: number): void {
    const [vm] = this.#vms.splice(index, 1, this.#makeVm());
    vm.pendingWrite = undefined;
    // The operator's tool gets no answer and sends the same proposal to another VM.
    this.#unanswered.push(...vm.attempts.map((attempt) => attempt.proposal));
    this.#recomputeAccepted();
  }

  /** Restores the backup. That breaks the store's connections, so no write in flight is applied afterwards. */
  #restore(): void {
    if (!this.#backup) return;
    this.#isRestored = true;
    this.#store = copyStore(this.#backup);
    for (const write of this.#writes) {
      if (write.result === "flying") write.result = "cut";
    }
    this.#recomputeAccepted();
  }

  /** A restore, or a crash after one, may lose an edit that no VM has in force. The edit is then no longer required. */
  #recomputeAccepted(): void {
    const accepted = new Map<string, LoggedEdit>();
    const lastIds = this.#vms.map((vm) => vm.log.lastId);
    for (const lastId of [this.#store.head?.id ?? "", ...lastIds]) {
      let edit = this.#edits.get(lastId);
      while (edit) {
        accepted.set(edit.id, edit);
        edit = this.#edits.get(edit.prevId);
      }
    }
    this.#accepted = accepted;
  }

  #snapshot(vm: Vm): void {
    const store = this.#store;
    const { head, readAtVersion } = this.#read(vm);
    if (!head || vm.log.compareHead(head, readAtVersion) !== "same") return;
    store.snapshot = vm.log.image();
    store.rev++;
    store.headRev = store.rev;
    for (const version of store.log.keys()) {
      if (version < head.version) store.log.delete(version);
    }
  }

  #checkVm(vm: Vm): void {
    const { table, lastId } = vm.log;
    check(table.version >= vm.maxVersion, "a VM's version decreased");
    vm.maxVersion = table.version;
    check(this.#isRestored || !vm.log.regression, "a false regression");
    check(
      this.#historyContains(lastId, vm.lastId),
      "an edit in force was reverted",
    );
    vm.lastId = lastId;
    const expected = this.#tables.get(lastId);
    check(expected !== undefined, `edit ${lastId} was never accepted`);
    check(
      formatTable(expected!) === formatTable(table),
      `a VM's rows differ at ${lastId}`,
    );
  }

  /** Whether the history that ends with edit `id` contains edit `earlier`. */
  #historyContains(id: string, earlier: string): boolean {
    let edit = this.#edits.get(id);
    while (edit && edit.id !== earlier) edit = this.#edits.get(edit.prevId);
    return edit !== undefined || earlier === "";
  }

  #pickWrite(move: Move, state?: "flying" | "landed"): TableWrite | undefined {
    const writes = this.#writes.filter((write) =>
      state === undefined ||
      (write.result === "flying") === (state === "flying")
    );
    return writes[move.a % Math.max(1, writes.length)];
  }

  #removeWrite(write: TableWrite): void {
    this.#writes = this.#writes.filter((it) => it !== write);
  }

  #isBusy(): boolean {
    return this.#writes.length > 0 ||
      this.#vms.some((vm) => vm.attempts.length > 0);
  }
}

function findRegionId(change: LoggedEdit["changes"][number]): string {
  return change.type === "put" && change.row.kind === "region"
    ? change.row.id
    : "";
}

/** Replays one schedule. Throws if a rule is violated. */
export function replay(machines: Machines, moves: readonly Move[]): void {
  const simulation = new TableSimulation(machines, 3);
  for (const move of moves) simulation.runMove(move);
  simulation.settle();
}
