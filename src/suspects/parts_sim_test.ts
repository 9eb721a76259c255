import { Random } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import {
  type Blame,
  canBeCause,
  CrashHistory,
  findBlame,
  type Traits,
} from "./mod.ts";

const STEP_MS = 10;
const SIMULATED_MS = 40_000;
const ENGINES = 18;
const VMS = 6;
/** Time after which all VMs know what one VM observed. */
const GOSSIP_MS = 150;
/** How long a crashed engine is down. */
const DOWN_MS = 8_000;
const SOUND_PER_S = 60;
const SOUND_MS = 2_000;
/** Time from a request's arrival to the begin of its answer. */
const READ_MS = 150;
/** Time from the begin of an answer to the crash. */
const CRASH_MS = 60;
/** A run that has lived this long clears its traits. */
const SURVIVED_MS = 500;
const TROUBLE_MS = 10_000;
const MAX_WAIT_MS = 2_000;
/** With a part that nobody has told VMs of, a request may crash this many upstreams in all. */
const MAX_CRASHES = 8;
const SEEDS = 5;

type Verdict = Pick<Blame, "status" | "trait">;

/** How requests are judged by what a VM knows. */
type Judge = (
  history: CrashHistory,
  traits: Traits,
  nowMs: number,
) => Verdict;

function judgeByBlame(crashesBeforeTrial: number): Judge {
  return (history, traits, nowMs) =>
    findBlame(history, traits, nowMs, crashesBeforeTrial);
}

/** A part is refused as soon as some crashes with it are not cleared. */
const judgeByCount: Judge = (history, [trait, ...parts], nowMs) => {
  const isKnown = parts.some((part) => history.crashCount(part, nowMs) >= 4);
  return { status: isKnown ? "rejected" : "clear", trait };
};

const judgeByRequest: Judge = (history, [trait], nowMs) => ({
  status: history.statusOf(trait, nowMs),
  trait,
});

const USED = "blame, trial at two";
const JUDGES: readonly (readonly [name: string, judge: Judge])[] = [
  ["whole requests", judgeByRequest],
  ["count each part", judgeByCount],
  ["blame, trial at three", judgeByBlame(3)],
  [USED, judgeByBlame(2)],
];

/** What goes wrong: a deadly part comes, or upstreams die of another cause as a part appears that nobody had before. */
interface Trouble {
  readonly name: string;
  readonly deadlyPerS: number;
  /** Parts of requests that crash their upstream. */
  readonly deadlyParts: readonly string[];
  /** Engines that die at once of another cause. */
  readonly deaths: number;
}

const TROUBLES: readonly Trouble[] = [
  {
    name: "one a second",
    deadlyPerS: 1,
    deadlyParts: ["ptools", "pdeadly"],
    deaths: 0,
  },
  {
    name: "three a second",
    deadlyPerS: 3,
    deadlyParts: ["ptools", "pdeadly"],
    deaths: 0,
  },
  {
    name: "ten a second, beside a rare part",
    deadlyPerS: 10,
    deadlyParts: ["ptools", "prare", "pdeadly"],
    deaths: 0,
  },
  {
    name: "three die as a new part comes",
    deadlyPerS: 0,
    deadlyParts: [],
    deaths: 3,
  },
  {
    name: "a region dies as a new part comes",
    deadlyPerS: 0,
    deadlyParts: [],
    deaths: 9,
  },
];

interface Run {
  readonly traits: Traits;
  readonly vm: number;
  readonly beginMs: number;
  readonly isDeadly: boolean;
  /** Whose trial it is, if it is one. */
  readonly trialOf: string | undefined;
  isCleared: boolean;
}

interface Engine {
  readonly id: number;
  starts: number;
  backMs: number;
  runs: Run[];
}

/** Simulates a region of engines behind some VMs. */
class Simulation {
  crashes = 0;
  refused = 0;
  readonly #judge: Judge;
  readonly #trouble: Trouble;
  readonly #random: Random;
  readonly #histories = Array.from({ length: VMS }, () => new CrashHistory());
  readonly #engines: Engine[] = Array.from(
    { length: ENGINES },
    (_, id) => ({ id, starts: 0, backMs: 0, runs: [] }),
  );
  readonly #trials = new Set<string>();
  #count = 0;
  #later: { readonly atMs: number; readonly run: (nowMs: number) => void }[] =
    [];

  constructor(judge: Judge, trouble: Trouble, seed: number) {
    this.#judge = judge;
    this.#trouble = trouble;
    this.#random = new Random(seed);
  }

  run(): this {
    const { deadlyPerS, deadlyParts, deaths } = this.#trouble;
    for (let nowMs = 0; nowMs < SIMULATED_MS; nowMs += STEP_MS) {
      const due = this.#later.filter(({ atMs }) => atMs <= nowMs);
      this.#later = this.#later.filter(({ atMs }) => atMs > nowMs);
      for (const { run } of due) run(nowMs);
      const isLate = nowMs >= TROUBLE_MS;
      if (this.#happens(SOUND_PER_S)) {
        const isNew = isLate && deaths > 0 && this.#random.next() < 0.3;
        const part = isNew ? "pnew" : `ppage${this.#random.int(6)}`;
        this.#arrive(["ptools", part], false, nowMs, nowMs);
      }
      if (isLate && this.#happens(deadlyPerS)) {
        this.#arrive(deadlyParts, true, nowMs, nowMs);
      }
      if (nowMs === TROUBLE_MS + SURVIVED_MS) {
        for (const engine of this.#engines.slice(0, deaths)) {
          this.#crash(engine, nowMs);
        }
      }
      for (const engine of this.#engines) this.#runEngine(engine, nowMs);
    }
    return this;
  }

  #happens(perS: number): boolean {
    return this.#random.next() < perS * STEP_MS / 1_000;
  }

  #arrive(
    parts: readonly string[],
    isDeadly: boolean,
    sinceMs: number,
    nowMs: number,
    request = `r${this.#count++}`,
  ): void {
    const vm = this.#random.int(VMS);
    const traits: Traits = [request, ...parts];
    const { status, trait } = this.#judge(this.#histories[vm], traits, nowMs);
    const mustWait = status === "onTrial" && this.#trials.has(trait);
    if (mustWait && nowMs - sinceMs < MAX_WAIT_MS) {
      this.#later.push({
        atMs: nowMs + 50,
        run: (atMs) => this.#arrive(parts, isDeadly, sinceMs, atMs, request),
      });
      return;
    }
    if (mustWait || status === "rejected") {
      if (!isDeadly) this.refused++;
      return;
    }
    const trialOf = status === "onTrial" ? trait : undefined;
    if (trialOf !== undefined) this.#trials.add(trialOf);
    const open = this.#engines.filter(({ backMs }) => backMs <= nowMs);
    if (open.length === 0) return;
    const beginMs = nowMs + READ_MS;
    const run = { traits, vm, beginMs, isDeadly, trialOf, isCleared: false };
    this.#random.pick(open).runs.push(run);
  }

  #runEngine(engine: Engine, nowMs: number): void {
    const isCrashing = engine.runs.some(({ isDeadly, beginMs }) =>
      isDeadly && nowMs - beginMs >= CRASH_MS
    );
    if (isCrashing) {
      this.crashes++;
      return this.#crash(engine, nowMs);
    }
    for (const run of engine.runs) {
      if (run.isCleared || nowMs - run.beginMs < SURVIVED_MS) continue;
      run.isCleared = true;
      this.#endTrial(run);
      this.#tell(
        run.vm,
        nowMs,
        (history) =>
          run.traits.flatMap((trait) =>
            history.clear(trait, nowMs, run.beginMs)
          ),
      );
    }
    engine.runs = engine.runs.filter(({ beginMs }) =>
      nowMs - beginMs < SOUND_MS
    );
  }

  #crash(engine: Engine, nowMs: number): void {
    const key = `e${engine.id}@${engine.starts++}`;
    const { runs } = engine;
    engine.runs = [];
    engine.backMs = nowMs + DOWN_MS;
    for (const run of runs) {
      const { traits, vm, beginMs, trialOf } = run;
      this.#endTrial(run);
      const begun = nowMs >= beginMs ? { beganAgoMs: nowMs - beginMs } : {};
      if (!canBeCause(begun)) continue;
      this.#tell(
        vm,
        nowMs,
        (history) =>
          traits.flatMap((trait) =>
            history.noteCrash(
              trait,
              key,
              beginMs - READ_MS,
              nowMs,
              trialOf === undefined ? undefined : traits[0],
            )
          ),
      );
    }
  }

  #endTrial({ trialOf }: Run): void {
    if (trialOf !== undefined) this.#trials.delete(trialOf);
  }

  /** Changes what one VM knows, and tells the others. */
  #tell(
    vm: number,
    nowMs: number,
    change: (history: CrashHistory) => ReturnType<CrashHistory["merge"]>,
  ): void {
    const rows = change(this.#histories[vm]);
    if (rows.length === 0) return;
    this.#later.push({
      atMs: nowMs + GOSSIP_MS,
      run: (atMs) => {
        for (const history of this.#histories) {
          history.merge(
            rows.map(([trait, key, agoMs, isCleared]) =>
              [trait, key, agoMs + GOSSIP_MS, isCleared] as const
            ),
            atMs,
          );
        }
      },
    });
  }
}

describe("suspects", () => {
  describe("simulated with prompts that share their parts", () => {
    for (const trouble of TROUBLES) {
      it(`crash few engines, and no sound request is refused: ${trouble.name}`, (t) => {
        for (const [name, judge] of JUDGES) {
          const runs = Array.from(
            { length: SEEDS },
            (_, seed) => new Simulation(judge, trouble, seed + 1).run(),
          );
          const crashes = runs.map((run) => run.crashes);
          const refused = runs.map((run) => run.refused);
          t.log(`${name}: crashes ${crashes}, sound refused ${refused}`);
          if (name !== USED) continue;
          t.true(Math.max(...crashes) <= MAX_CRASHES);
          t.is(Math.max(...refused), 0);
        }
      });
    }
  });
});
