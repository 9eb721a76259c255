import { Random } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { byHarm, type Candidate } from "../routing/mod.ts";
import { EndBook, mayBeCause } from "./mod.ts";

const STEP_MS = 10;
const DAY_MS = 60_000;
const ENGINES = 13;
const VMS = 7;
const SLOTS = 128;
/** How long an engine that ended is away. */
const DOWN_MS = 9_000;
/** What a VM saw is known to all after this long. */
const TELL_MS = 250;
/** When a caller whose stream broke comes again, and how often. */
const RETURN_MS = 400;
const MOST_RETURNS = 6;
/** Streams that begin each second, and prompts that they share: each prompt has one engine that has read it. */
const STREAMS_PER_S = 80;
const PROMPTS = 4;
const STREAM_MS = 5_000;
/** The guilty request crashes its engine so long after its begin, and comes so often. */
const CRASH_MS = 80;
const GUILTY_EVERY_MS = 700;
const GUILTY_FROM_MS = 5_000;
const GUILTY_ATTEMPTS = 40;
/** Upstreams that one request may end: three, and three more while the VMs tell each other. */
const MOST_ENDS = 6;
const SEEDS = 10;

/** A way to tell who is guilty. */
interface Way {
  readonly name: string;
  /** Counts only those that had just begun, or every request that ran there. */
  readonly onlyBegun: boolean;
  /** Places suspects apart, where an end harms least. */
  readonly isApart: boolean;
  /** Lets a request run once more after three ends, and rejects it at the fourth. */
  readonly hasTrial: boolean;
}

const CHOSEN: Way = {
  name: "begun, apart, on trial",
  onlyBegun: true,
  isApart: true,
  hasTrial: true,
};
const WAYS: readonly Way[] = [
  {
    name: "count all, reject at three",
    onlyBegun: false,
    isApart: false,
    hasTrial: false,
  },
  {
    name: "count those begun, reject at three",
    onlyBegun: true,
    isApart: false,
    hasTrial: false,
  },
  { ...CHOSEN, name: "begun, on trial, not apart", isApart: false },
  { ...CHOSEN, name: "begun, apart, reject at three", hasTrial: false },
  CHOSEN,
];

interface Request {
  readonly digest: string;
  readonly prompt: number;
  readonly isGuilty: boolean;
  returns: number;
}

interface Run {
  readonly request: Request;
  readonly beganMs: number;
  readonly isSuspect: boolean;
}

interface Engine {
  readonly id: number;
  key: string;
  backMs: number;
  runs: Run[];
}

interface Outcome {
  /** Engines that the guilty request ended. */
  ends: number;
  /** Good requests that were refused. */
  refused: number;
  /** Streams of others that broke. */
  broken: number;
}

/** A region of engines before some VMs, with one request that ends whatever runs it. */
class World {
  readonly outcome: Outcome = { ends: 0, refused: 0, broken: 0 };
  readonly #way: Way;
  readonly #random: Random;
  readonly #engines: Engine[];
  readonly #books = Array.from({ length: VMS }, () => new EndBook());
  readonly #trials = new Set<string>();
  #later: { readonly atMs: number; readonly run: (nowMs: number) => void }[] =
    [];
  #sent = 0;

  constructor(way: Way, seed: number) {
    this.#way = way;
    this.#random = new Random(seed);
    this.#engines = Array.from(
      { length: ENGINES },
      (_, id) => ({ id, key: `e${id}`, backMs: 0, runs: [] }),
    );
  }

  run(): Outcome {
    for (let at = 0; at < GUILTY_ATTEMPTS; at++) {
      const guilty = { digest: "guilty", prompt: 0, isGuilty: true };
      this.#at(
        GUILTY_FROM_MS + at * GUILTY_EVERY_MS,
        (nowMs) => this.#arrive({ ...guilty, returns: MOST_RETURNS }, nowMs),
      );
    }
    for (let nowMs = 0; nowMs < DAY_MS; nowMs += STEP_MS) {
      const due = this.#later.filter(({ atMs }) => atMs <= nowMs);
      this.#later = this.#later.filter(({ atMs }) => atMs > nowMs);
      for (const { run } of due) run(nowMs);
      this.#begin(nowMs);
      for (const engine of this.#engines) this.#work(engine, nowMs);
    }
    return this.outcome;
  }

  #at(atMs: number, run: (nowMs: number) => void): void {
    this.#later.push({ atMs, run });
  }

  #begin(nowMs: number): void {
    if (this.#random.next() >= STREAMS_PER_S * STEP_MS / 1_000) return;
    const prompt = Math.floor(this.#random.next() * PROMPTS);
    const digest = `good${this.#sent++}`;
    this.#arrive({ digest, prompt, isGuilty: false, returns: 0 }, nowMs);
  }

  #work(engine: Engine, nowMs: number): void {
    const crashes = engine.runs.some(({ request, beganMs }) =>
      request.isGuilty && nowMs - beganMs >= CRASH_MS
    );
    if (crashes) return this.#crash(engine, nowMs);
    for (const { request, beganMs } of engine.runs) {
      if (nowMs - beganMs < STREAM_MS) continue;
      for (const book of this.#books) book.clear(request.digest, nowMs);
    }
    engine.runs = engine.runs.filter(({ beganMs }) =>
      nowMs - beganMs < STREAM_MS
    );
  }

  #crash(engine: Engine, nowMs: number): void {
    this.outcome.ends++;
    const { runs, key } = engine;
    engine.runs = [];
    engine.backMs = nowMs + DOWN_MS;
    engine.key = `${key}'`;
    for (const { request, beganMs } of runs) {
      const isCounted = !this.#way.onlyBegun ||
        mayBeCause({ beganAgoMs: nowMs - beganMs });
      if (isCounted) this.#tell(request.digest, key, nowMs);
      if (request.isGuilty) continue;
      this.outcome.broken++;
      if (request.returns >= MOST_RETURNS) continue;
      const again = { ...request, returns: request.returns + 1 };
      this.#at(nowMs + RETURN_MS, (atMs) => this.#arrive(again, atMs));
    }
  }

  #tell(digest: string, key: string, nowMs: number): void {
    const [seer, ...others] = this.#random.sample(this.#books, VMS);
    seer.noteEnd(digest, key, nowMs, nowMs);
    this.#at(nowMs + TELL_MS, (atMs) => {
      for (const book of others) {
        book.adopt([[digest, key, TELL_MS, false]], atMs);
      }
    });
  }

  #arrive(request: Request, nowMs: number): void {
    const book = this.#random.pick(this.#books);
    const { digest } = request;
    const ends = book.ends(digest, nowMs);
    if (!this.#mayRun(digest, ends)) {
      if (!request.isGuilty) this.outcome.refused++;
      return;
    }
    const isSuspect = ends > 0;
    const engine = this.#place(request.prompt, isSuspect, nowMs);
    engine?.runs.push({ request, beganMs: nowMs, isSuspect });
  }

  #mayRun(digest: string, ends: number): boolean {
    if (ends < 3) return true;
    if (!this.#way.hasTrial || ends > 3 || this.#trials.has(digest)) {
      return false;
    }
    this.#trials.add(digest);
    return true;
  }

  /** Streams go to the engine that has read their prompt; suspects apart if the way says so. */
  #place(
    prompt: number,
    isSuspect: boolean,
    nowMs: number,
  ): Engine | undefined {
    const open = this.#engines.filter(({ backMs, runs }) =>
      backMs <= nowMs && runs.length < SLOTS
    );
    if (!isSuspect || !this.#way.isApart) {
      return open.length > 0 ? open[prompt % open.length] : undefined;
    }
    const candidates = open.map((engine) => ({
      ...asCandidate(engine, this.#random),
      engine,
    }));
    return byHarm(candidates)[0]?.engine;
  }
}

function asCandidate({ key, runs }: Engine, random: Random): Candidate {
  return {
    key,
    hash: 0,
    preference: random.next(),
    running: runs.length,
    waitingTokens: 0,
    slots: SLOTS,
    unreadTokens: 0,
    doubtful: false,
    suspects: runs.filter(({ isSuspect }) => isSuspect).length,
  };
}

describe("suspects", () => {
  describe("simulated beside streams that share their prompts", () => {
    it("end at most six engines, and no good request is refused", (t) => {
      for (const way of WAYS) {
        const days = Array.from(
          { length: SEEDS },
          (_, seed) => new World(way, seed + 1).run(),
        );
        const ends = days.map(({ ends }) => ends);
        const refused = days.map(({ refused }) => refused);
        const broken = days.map(({ broken }) => broken);
        t.log(
          `${way.name}: ends ${Math.min(...ends)} to ${
            Math.max(...ends)
          }, good refused ${Math.min(...refused)} to ${
            Math.max(...refused)
          }, streams of others broken ${Math.min(...broken)} to ${
            Math.max(...broken)
          }`,
        );
        if (way !== CHOSEN) continue;
        t.true(Math.max(...ends) <= MOST_ENDS);
        t.is(Math.max(...refused), 0);
      }
    });
  });
});
