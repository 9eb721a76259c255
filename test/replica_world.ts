/**
 * A store and VMs with a {@link Replica} each, whose questions and answers a test delivers one by one.
 *
 * @module
 */

import type { Entry, WatchEvent } from "../src/adapters/mod.ts";
import { Random } from "../src/base/mod.ts";
import { type News, type NewsTopic, Replica } from "../src/replication/mod.ts";

const SETTLE_ROUNDS = 30;

const revOf = (event: WatchEvent): number =>
  event.type === "put"
    ? event.entry.rev
    : event.type === "delete"
    ? event.rev
    : 0;

/** The store: its history, and how much of it is kept for polls. */
class Store {
  #events: WatchEvent[] = [];
  rev = 1;
  /** How often it came back from an older copy. */
  generation = 0;
  #forgottenRev = 0;

  put(key: string, value = "ready"): void {
    this.rev++;
    this.#events.push({ type: "put", entry: { key, rev: this.rev, value } });
  }

  delete(key: string): void {
    if (!this.entries().some((entry) => entry.key === key)) return;
    this.rev++;
    this.#events.push({ type: "delete", key, rev: this.rev });
  }

  /** Comes back as it was some revisions ago, and gives these out again. */
  restore(revisions: number): void {
    this.generation++;
    this.rev = Math.max(1, this.rev - revisions);
    this.#events = this.#events.filter((event) => revOf(event) <= this.rev);
    this.#forgottenRev = Math.min(this.#forgottenRev, this.rev);
  }

  /** Drops the history, so that the next poll of each reader is refused and the reader lists. */
  compact(): void {
    this.#forgottenRev = this.rev;
  }

  entries(): Entry[] {
    const held = new Map<string, Entry>();
    for (const event of this.#events) {
      if (event.type === "put") held.set(event.entry.key, event.entry);
      else if (event.type === "delete") held.delete(event.key);
    }
    return [...held.values()];
  }

  /** The changes after a revision; `undefined` if they are no longer kept. */
  changes(afterRev: number): WatchEvent[] | undefined {
    if (afterRev < this.#forgottenRev || afterRev > this.rev) return undefined;
    return this.#events.filter((event) => revOf(event) > afterRev);
  }

  toString(): string {
    return describeEntries(
      new Map(this.entries().map(({ key, value }) => [key, value])),
    );
  }
}

function describeEntries(entries: ReadonlyMap<string, string>): string {
  return [...entries].map(([key, value]) => `${key}=${value}`).sort().join(" ");
}

/** A VM's replica, whose operators' entries are news with each write, and the entries that it reported. */
class Vm {
  readonly known = new Map<string, string>();
  readonly replica: Replica;
  /** Whether the last poll showed that only a listing tells what changed. */
  mustList = false;

  constructor(topic: NewsTopic) {
    const { known } = this;
    this.replica = new Replica({
      contentOf: ({ rev, value }) =>
        topic === "operators" ? String(rev) : value,
      onPut: ({ key, value }) => void known.set(key, value),
      onDelete: (key) => void known.delete(key),
    });
  }

  toString(): string {
    return describeEntries(this.known);
  }
}

/** A store and VMs that follow it: readers list and poll, all pull from any VM that is ahead. */
export class World {
  readonly store = new Store();
  readonly vms: Vm[];
  readonly #topic: NewsTopic;
  readonly #inFlight: (() => void)[] = [];
  readonly #random = new Random(1);
  readers: readonly number[];

  constructor(topic: NewsTopic, vmCount: number, readers: readonly number[]) {
    this.#topic = topic;
    this.vms = Array.from({ length: vmCount }, () => new Vm(topic));
    this.readers = readers;
  }

  restart(...indices: number[]): void {
    for (const index of indices) this.vms[index] = new Vm(this.#topic);
  }

  /** Asks the store as a reader does; the answer is in flight. */
  ask(index: number, isAfterFailure = false): void {
    const vm = this.vms[index];
    const { replica } = vm;
    const { rev, generation } = this.store;
    const events = replica.rev === 0 || isAfterFailure || vm.mustList
      ? undefined
      : this.store.changes(replica.rev);
    const entries = this.store.entries();
    const { generation: askedInGeneration = 0 } = replica.state;
    this.#inFlight.push(() => {
      if (!events) {
        vm.mustList = false;
        replica.applyListing({ entries, rev, more: false, generation });
      } else if (replica.isRestoredBy({ generation })) vm.mustList = true;
      else replica.applyChanges(events, rev, generation, askedInGeneration);
    });
  }

  /** Asks another VM; the answer is in flight. */
  askVm(index: number, sender: number): void {
    const { replica } = this.vms[index];
    const news: News = this.vms[sender].replica.newsFor(replica.newsRequest);
    this.#inFlight.push(() => replica.adopt(news));
  }

  deliver(pick: number): void {
    if (this.#inFlight.length === 0) return;
    const [answer] = this.#inFlight.splice(pick % this.#inFlight.length, 1);
    answer();
  }

  /** These VMs ask the store and are answered. */
  read(...indices: number[]): void {
    for (const index of indices) {
      this.ask(index);
      this.deliver(this.#inFlight.length - 1);
    }
  }

  /** A VM pulls from another one, if that is ahead; again if the first answer does not suffice. */
  pull(index: number, sender: number): void {
    for (let i = 0; i < 2; i++) {
      if (!this.sources(index).includes(sender)) return;
      this.askVm(index, sender);
      this.deliver(this.#inFlight.length - 1);
    }
  }

  /** The VMs that are ahead of this one. */
  sources(index: number): number[] {
    const { replica } = this.vms[index];
    return [...this.vms.keys()].filter((i) => {
      if (i === index) return false;
      const { state } = this.vms[i].replica;
      replica.noteState(state);
      return replica.isBehind(state);
    });
  }

  /** Nothing changes any more: readers read all, and everyone pulls from whoever is ahead. */
  settle(): void {
    while (this.#inFlight.length > 0) this.deliver(0);
    for (const [index, { replica }] of this.vms.entries()) {
      if (replica.rev === 0) this.read(index);
    }
    for (let round = 0; round < SETTLE_ROUNDS; round++) {
      this.read(...this.readers);
      for (const index of this.vms.keys()) {
        const sources = this.sources(index);
        if (sources.length > 0) this.pull(index, this.#random.pick(sources));
      }
    }
  }

  /** What each VM holds; all should hold what the store does. */
  get held(): string[] {
    return this.vms.map(String);
  }

  get expected(): string[] {
    return this.vms.map(() => String(this.store));
  }
}

/** A world whose readers have read these keys, and whose other VMs have pulled them. */
export function createWorld(
  topic: NewsTopic,
  vmCount: number,
  readers: readonly number[],
  keys: readonly string[],
): World {
  const world = new World(topic, vmCount, readers);
  for (const index of world.vms.keys()) world.read(index);
  for (const key of keys) world.store.put(key);
  world.settle();
  return world;
}

/** The topics, whose replicas are configured differently. */
export const TOPICS: readonly NewsTopic[] = ["operators", "upstreams"];
