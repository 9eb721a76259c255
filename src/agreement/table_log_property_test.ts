import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import {
  EditAttempt,
  type EditStep,
  type HeadRelation,
  type LoggedEdit,
  type RegionRow,
  type SeenHead,
  Table,
  type TableHead,
  type TableImage,
  TableLog,
  type WriteAnswer,
} from "./mod.ts";

/** The machines under test; a broken variant replaces one of them. */
interface Machines {
  log(): TableLog;
  attempt(...input: ConstructorParameters<typeof EditAttempt>): EditAttempt;
}

const whole: Machines = {
  log: () => new TableLog(),
  attempt: (proposal) => new EditAttempt(proposal),
};

/** One step of a schedule; `a`, `b` and `c` choose among what is possible. */
interface Move {
  readonly type: typeof moveTypes[number];
  readonly a: number;
  readonly b: number;
  readonly c: number;
}

const moveTypes = [
  "propose",
  "read",
  "work",
  "work",
  "land",
  "land",
  "answer",
  "lose",
  "push",
  "push",
  "pull",
  "crash",
  "snapshot",
  "save",
  "restore",
  "resubmit",
] as const;

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

interface Store {
  rev: number;
  head: TableHead | undefined;
  headRev: number;
  log: Map<number, LoggedEdit>;
  snapshot: TableImage | undefined;
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
    const relation = vm.log.seeHead(head, readAtVersion);
    if (relation === "older") {
      must(vm.log.regression !== undefined, "an older store without an alarm");
    }
    if (relation === "ahead") {
      const next = vm.log.table.version + 1;
      if (!log.has(next) && snapshot) vm.log.load(snapshot);
      vm.log.offer([...log.values()]);
      vm.log.seeHead(head, readAtVersion);
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
    this.#end(vm, attempt, attempt.answered(heard ? result : "lost", vm.log));
  }

  #push(from: Vm, to: Vm, c: number): void {
    const edits = [...from.log.history()];
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
    if (!head || vm.log.seeHead(head, readAtVersion) !== "same") return;
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

function rowsOf(table: Table): string {
  const rows = [...table.rows()].map((it) => JSON.stringify(it)).sort();
  return `${table.version} ${rows.join()}`;
}

function emptyStore(): Store {
  return {
    rev: 0,
    head: undefined,
    headRev: 0,
    log: new Map(),
    snapshot: undefined,
  };
}

function copyStore(store: Store): Store {
  return { ...store, log: new Map(store.log) };
}

function must(holds: boolean, rule: string): void {
  if (!holds) throw new Error(rule);
}

function replay(machines: Machines, moves: readonly Move[]): void {
  const world = new World(machines, 3);
  for (const move of moves) world.run(move);
  world.settle();
}

function schedules(types: readonly Move["type"][]): fc.Arbitrary<Move[]> {
  const nat = fc.nat({ max: 11 });
  const type = fc.constantFrom(...types);
  const move = fc.record({ type, a: nat, b: nat, c: nat });
  return fc.array(move, { minLength: 5, maxLength: 80, size: "max" });
}

const calm = moveTypes.filter((type) => type !== "save" && type !== "restore");
/** Moves that bring about two histories: a late answer after a restore, then edits and images from both sides. */
const forking: readonly Move["type"][] = [
  "propose",
  "work",
  "land",
  "answer",
  "pull",
  "save",
  "restore",
];

const RUNS = Number(process.env.FUZZ_RUNS ?? 3000);

/** Runs schedules until one violates a rule; the printed counterexample replays by `replay(whole, [...])`. */
function search(
  machines: Machines,
  types: readonly Move["type"][],
  seed: number,
  numRuns: number,
): fc.RunDetails<[Move[]]> {
  const property = fc.property(
    schedules(types),
    (moves) => replay(machines, moves),
  );
  return fc.check(property, { seed, numRuns });
}

function report(details: fc.RunDetails<[Move[]]>): string {
  return `seed ${details.seed}: ${String(details.errorInstance)}\nreplay: ${
    JSON.stringify(details.counterexample?.[0])
  }`;
}

describe("table log", () => {
  // Operators race from several VMs, answers are lost before and after the write lands, VMs crash, pushes are
  // repeated and reordered, snapshots cut the log. Every accepted edit stands once, nobody goes back, all agree.
  for (const seed of [11, 12, 13]) {
    it(`keeps its rules under faults, seed ${seed}`, (t) => {
      const details = search(whole, calm, seed, RUNS);
      t.false(details.failed, report(details));
    });
  }

  // The same, and the store is restored from an old copy at any moment: its head falls below what is in force.
  // No VM follows it back, each that looks raises the alarm, and no version is given out twice with other rows.
  for (const seed of [21, 22]) {
    it(`keeps its rules when an old copy is restored, seed ${seed}`, (t) => {
      for (const types of [moveTypes, forking]) {
        const details = search(whole, types, seed, RUNS);
        t.false(details.failed, report(details));
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
  override answered(answer: WriteAnswer, log: TableLog): EditStep {
    if (answer !== "lost") return super.answered(answer, log);
    return { type: "conflict", conflicts: [] };
  }
}

class TakesLostForDone extends EditAttempt {
  override answered(answer: WriteAnswer, log: TableLog): EditStep {
    return super.answered(answer === "lost" ? "done" : answer, log);
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

class AlarmsAtStaleHeads extends TableLog {
  override seeHead(head: TableHead | undefined): HeadRelation {
    return super.seeHead(head, this.table.version);
  }
}

class LoadsAnyHistory extends TableLog {
  protected override continues(): boolean {
    return true;
  }
}

const broken: Record<string, Machines> = {
  "a log that loads older tables": { ...whole, log: () => new RollsBack() },
  "a log that skips gaps": { ...whole, log: () => new SkipsGaps() },
  "a lost answer taken for a failure": {
    ...whole,
    attempt: (proposal) => new TakesLostForFailed(proposal),
  },
  "a lost answer taken for a success": {
    ...whole,
    attempt: (proposal) => new TakesLostForDone(proposal),
  },
  "a re-base that overwrites the winner": {
    ...whole,
    attempt: (proposal) => new IgnoresConflicts(proposal),
  },
  "a log that follows another history": {
    ...whole,
    log: () => new FollowsAnyHistory(),
  },
  "a log that takes a stale head for an old store": {
    ...whole,
    log: () => new AlarmsAtStaleHeads(),
  },
  "a log that loads another history": {
    ...whole,
    log: () => new LoadsAnyHistory(),
  },
};

describe("table log checker", () => {
  for (const [title, machines] of Object.entries(broken)) {
    it(`catches ${title}`, (t) => {
      const found = [moveTypes, forking].some((types) =>
        search(machines, types, 31, 10_000).failed
      );
      t.true(found);
    });
  }
});
