/**
 * A few VMs with the table's machines, a store and what is between them, moved step by step by a schedule. Each move
 * checks the rules of the table.
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
  copyStore,
  emptyStore,
  type Move,
  must,
  rowsOf,
  type Store,
} from "./fuzz_table_model.ts";

/** The machines under test; a broken variant replaces one of them. */
export interface Machines {
  log(): TableLog;
  attempt(...input: ConstructorParameters<typeof EditAttempt>): EditAttempt;
}

/** The machines as they are. */
export const whole: Machines = {
  log: () => new TableLog(),
  attempt: (proposal) => new EditAttempt(proposal),
};

interface Vm {
  log: TableLog;
  attempts: EditAttempt[];
  /** The step that waits for a write's answer. */
  waiting: Flight | undefined;
  /** A reading of the head whose answer is on its way. */
  seen: SeenHead | undefined;
  /** The highest version seen, for the rule that it never goes down. */
  highest: number;
  /** The last edit seen in force, for the rule that an edit in force stays so. */
  lastId: string;
}

interface Flight {
  readonly vm: Vm;
  readonly attempt: EditAttempt;
  readonly step: Extract<EditStep, { type: "write" }>;
  result: "flying" | "done" | "conflict" | "cut";
}

const ROWS = 3;

function row(id: number, weight: number): RegionRow {
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

/** A few VMs, a store and what is between them; each move checks the rules and throws if one is violated. */
class World {
  readonly #machines: Machines;
  readonly #vms: Vm[];
  readonly #tables = new Map<string, Table>([["", Table.empty]]);
  readonly #chain = new Map<string, LoggedEdit>();
  /** Edits that stand in the store's log or are in force at a VM. */
  #accepted = new Map<string, LoggedEdit>();
  readonly #refused = new Set<string>();
  readonly #lost: ConstructorParameters<typeof EditAttempt>[0][] = [];
  readonly #resubmitted = new Set<string>();
  #flights: Flight[] = [];
  #store: Store = emptyStore();
  #saved: Store | undefined;
  #nextId = 1;
  #restored = false;

  constructor(machines: Machines, vms: number) {
    this.#machines = machines;
    this.#vms = Array.from({ length: vms }, () => this.#freshVm());
  }

  run(move: Move): void {
    const vm = this.#vms[move.a % this.#vms.length];
    const other = this.#vms[move.b % this.#vms.length];
    switch (move.type) {
      case "propose":
        return this.#propose(vm, move);
      case "read":
        vm.seen = this.#read(vm);
        return;
      case "work":
        return this.#work(vm);
      case "land":
        return this.#land(this.#pickFlight(move, "flying"));
      case "answer":
        return this.#answer(this.#pickFlight(move, "landed"), false);
      case "lose":
        return this.#answer(this.#pickFlight(move), true);
      case "push":
        return this.#push(other, vm, move.c);
      case "pull":
        vm.log.load(other.log.image());
        return this.#check(vm);
      case "crash":
        return this.#crash(move.a % this.#vms.length);
      case "snapshot":
        return this.#snapshot(vm);
      case "save":
        this.#saved ??= copyStore(this.#store);
        return;
      case "restore":
        return this.#restore();
      case "resubmit":
        return this.#resubmit(vm);
    }
  }

  /** Ends all that is under way and checks that every VM comes to the newest version. */
  settle(): void {
    for (let i = 0; i < 200 && this.#busy(); i++) {
      for (const flight of [...this.#flights]) {
        this.#land(flight);
        this.#answer(flight, false);
      }
      for (const vm of this.#vms) this.#work(vm);
    }
    for (const id of this.#refused) {
      must(!this.#accepted.has(id), `refused edit ${id} is in the log`);
    }
    if (this.#restored) return;
    must(!this.#busy(), "an edit never came to an end");
    for (const vm of this.#vms) {
      this.#catchUp(vm, this.#read(vm));
      const { version } = vm.log.table;
      must(version === (this.#store.head?.version ?? 0), "a VM stays behind");
    }
  }

  #freshVm(): Vm {
    const log = this.#machines.log();
    return {
      log,
      attempts: [],
      waiting: undefined,
      seen: undefined,
      highest: 0,
      lastId: "",
    };
  }

  #propose(vm: Vm, move: Move): void {
    const key = `region/r${move.b % ROWS}`;
    const ifVersion = vm.log.table.get(key)?.version ?? 0;
    const id = `e${this.#nextId++}`;
    const change = move.c % 4 === 0 && ifVersion > 0
      ? { type: "delete" as const, key, ifVersion }
      : {
        type: "put" as const,
        row: row(move.b % ROWS, this.#nextId),
        ifVersion,
      };
    vm.attempts.push(
      this.#machines.attempt({ id, author: "op", changes: [change] }),
    );
  }

  #resubmit(vm: Vm): void {
    const proposal = this.#lost.pop();
    if (!proposal) return;
    this.#resubmitted.add(proposal.id);
    vm.attempts.push(this.#machines.attempt(proposal));
  }

  #work(vm: Vm): void {
    const [attempt] = vm.attempts;
    if (vm.waiting || !attempt) return;
    const known = Math.max(...this.#vms.map((it) => it.log.table.version));
    const seen = vm.seen ?? this.#read(vm);
    vm.seen = undefined;
    this.#catchUp(vm, seen);
    const step = attempt.next(vm.log, seen, known, 0);
    if (step.type === "write") {
      const flight = { vm, attempt, step, result: "flying" as const };
      vm.waiting = flight;
      this.#flights.push(flight);
    } else this.#end(vm, attempt, step);
  }

  #end(vm: Vm, attempt: EditAttempt, step: EditStep): void {
    const { id } = attempt.proposal;
    if (step.type === "catchUp" || step.type === "write") return;
    vm.attempts = vm.attempts.filter((it) => it !== attempt);
    if (step.type === "accepted") {
      this.#forgetVanished();
      must(this.#accepted.has(id), `${id} was told accepted but is not`);
    }
    // On its second way, at another VM, a refusal that never read the log says nothing of the first.
    const told = step.type === "conflict" || step.type === "invalid" ||
      (step.type === "regressed" && !step.maybeAccepted &&
        !this.#resubmitted.has(id));
    if (told && !this.#accepted.has(id)) this.#refused.add(id);
    if (told && this.#accepted.has(id)) {
      throw new Error(`${id} is in the log but was told ${step.type}`);
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
      must(vm.log.regression !== undefined, "an older store without an alarm");
    }
    if (relation === "ahead") {
      const next = vm.log.table.version + 1;
      if (!log.has(next) && snapshot) vm.log.load(snapshot);
      vm.log.offer([...log.values()]);
      vm.log.compareHead(head, readAtVersion);
    }
    this.#check(vm);
  }

  #land(flight: Flight | undefined): void {
    if (flight?.result !== "flying") return;
    const { edit, head, headRev } = flight.step;
    const store = this.#store;
    if (store.headRev !== headRev || store.log.has(edit.version)) {
      flight.result = "conflict";
      return;
    }
    flight.result = "done";
    store.rev++;
    store.head = head;
    store.headRev = store.rev;
    store.log.set(edit.version, edit);
    this.#record(edit);
  }

  #record(edit: LoggedEdit): void {
    must(!this.#accepted.has(edit.id), `${edit.id} is in the log twice`);
    this.#chain.set(edit.id, edit);
    this.#accepted.set(edit.id, edit);
    const previous = this.#tables.get(edit.prevId)!;
    for (const change of edit.changes) {
      const key = change.type === "put"
        ? `region/${rowId(change)}`
        : change.key;
      const stood = previous.get(key)?.version ?? 0;
      must(stood === change.ifVersion, `${edit.id} overwrote another's ${key}`);
    }
    this.#tables.set(edit.id, previous.apply(edit));
  }

  #answer(flight: Flight | undefined, lost: boolean): void {
    if (!flight) return;
    if (flight.result === "flying" && !lost) return;
    if (flight.result !== "flying") this.#drop(flight);
    const { vm, attempt } = flight;
    if (vm.waiting !== flight) return;
    vm.waiting = undefined;
    const { result } = flight;
    const heard = !lost && result !== "flying" && result !== "cut";
    this.#end(vm, attempt, attempt.onAnswer(heard ? result : "lost", vm.log));
  }

  #push(from: Vm, to: Vm, c: number): void {
    const edits = [...from.log.recentEdits()];
    const part = edits.slice(c % (edits.length + 1));
    if (c % 2) part.reverse();
    to.log.offer(c % 3 ? part : [...part, ...part.slice(0, 2)]);
    this.#check(to);
  }

  #crash(index: number): void {
    const [vm] = this.#vms.splice(index, 1, this.#freshVm());
    vm.waiting = undefined;
    // The operator's tool has no answer and sends the same proposal to another VM.
    this.#lost.push(...vm.attempts.map((attempt) => attempt.proposal));
    this.#forgetVanished();
  }

  /** Puts the old copy in place. That breaks the store's connections, so no write on its way lands afterwards. */
  #restore(): void {
    if (!this.#saved) return;
    this.#restored = true;
    this.#store = copyStore(this.#saved);
    for (const flight of this.#flights) {
      if (flight.result === "flying") flight.result = "cut";
    }
    this.#forgetVanished();
  }

  /** A restore, or a crash after one, may take away an edit that nobody has in force: nothing holds for it any more. */
  #forgetVanished(): void {
    const standing = new Map<string, LoggedEdit>();
    const ends = this.#vms.map((vm) => vm.log.lastId);
    for (const end of [this.#store.head?.id ?? "", ...ends]) {
      let edit = this.#chain.get(end);
      while (edit) {
        standing.set(edit.id, edit);
        edit = this.#chain.get(edit.prevId);
      }
    }
    this.#accepted = standing;
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

  #check(vm: Vm): void {
    const { table, lastId } = vm.log;
    must(table.version >= vm.highest, "a VM's version went down");
    vm.highest = table.version;
    must(this.#restored || !vm.log.regression, "an alarm without a cause");
    must(this.#continues(lastId, vm.lastId), "an edit in force was taken back");
    vm.lastId = lastId;
    const wanted = this.#tables.get(lastId);
    must(wanted !== undefined, `edit ${lastId} was never accepted`);
    must(rowsOf(wanted!) === rowsOf(table), `a VM's rows differ at ${lastId}`);
  }

  /** Whether the history that ends in `id` holds `earlier`. */
  #continues(id: string, earlier: string): boolean {
    let edit = this.#chain.get(id);
    while (edit && edit.id !== earlier) edit = this.#chain.get(edit.prevId);
    return edit !== undefined || earlier === "";
  }

  #pickFlight(move: Move, want?: "flying" | "landed"): Flight | undefined {
    const flights = this.#flights.filter((flight) =>
      want === undefined || (flight.result === "flying") === (want === "flying")
    );
    return flights[move.a % Math.max(1, flights.length)];
  }

  #drop(flight: Flight): void {
    this.#flights = this.#flights.filter((it) => it !== flight);
  }

  #busy(): boolean {
    return this.#flights.length > 0 ||
      this.#vms.some((vm) => vm.attempts.length > 0);
  }
}

function rowId(change: LoggedEdit["changes"][number]): string {
  return change.type === "put" && change.row.kind === "region"
    ? change.row.id
    : "";
}

/** Replays one schedule; throws if a rule is violated. */
export function replay(machines: Machines, moves: readonly Move[]): void {
  const world = new World(machines, 3);
  for (const move of moves) world.run(move);
  world.settle();
}
