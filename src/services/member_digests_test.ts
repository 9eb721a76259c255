import type { Transport } from "../adapters/mod.ts";
import { type AgingItem, Membership, type NewsItem } from "../agreement/mod.ts";
import { describe, it } from "../base/describe.ts";
import { ManualClock, Random } from "../base/mod.ts";
import { MemberDigests } from "./member_digests.ts";

const START_MS = 1_700_000_000_000;
const CLOCK_ERROR_MS = 5_000;
const WAITED_MS = 20_000;
const TOPIC = "load/plan/0";

/** A clock that can be set. */
class SettableClock extends ManualClock {
  changedByMs = 0;

  override nowMs(): number {
    return super.nowMs() + this.changedByMs;
  }
}

/** What a VM of the region `north` exchanges, without a network. */
class Vm {
  readonly clock = new SettableClock(START_MS);
  readonly machine: Membership;
  readonly digests: MemberDigests;

  constructor(id: string) {
    this.machine = new Membership({
      id,
      incarnation: 1,
      region: "north",
      failureDomain: "",
      peerAddress: id,
      callerUrl: id,
    });
    this.digests = new MemberDigests({
      region: "north",
      clock: this.clock,
      random: new Random(7),
      transport: { notify: () => {} } as unknown as Transport,
      machine: this.machine,
      listedAddresses: new Map(),
      seeds: [],
      sync: () => Promise.resolve(),
    });
  }

  takeNews(): readonly NewsItem[] {
    return this.machine.gossip(this.clock.nowMs()).news;
  }

  receive(items: readonly NewsItem[]): void {
    for (const item of items) this.digests.receive(item);
  }

  value(): unknown {
    const topics = this.digests.regions.topics(this.clock.nowMs());
    return topics.get("north")?.find(({ topic }) => topic === TOPIC)?.body;
  }
}

describe("a VM that publishes topics", () => {
  it("is heard at once after its clock went back", (t) => {
    const [publisher, other] = [new Vm("a"), new Vm("b")];
    publisher.digests.publish(TOPIC, 1);
    other.receive(publisher.takeNews());
    publisher.clock.changedByMs = -CLOCK_ERROR_MS;
    publisher.digests.publish(TOPIC, 2);
    other.receive(publisher.takeNews());
    t.is(other.value(), 2);
  });

  it("is heard after a restart that set its clock back, once it met its earlier value", (t) => {
    const [publisher, other] = [new Vm("a"), new Vm("b")];
    publisher.digests.publish(TOPIC, 1);
    other.receive(publisher.takeNews());
    const restarted = new Vm("a");
    restarted.clock.changedByMs = -CLOCK_ERROR_MS;
    restarted.receive(other.takeNews());
    restarted.digests.publish(TOPIC, 2);
    other.receive(restarted.takeNews());
    t.is(other.value(), 2);
  });
});

describe("a VM that passes topics on", () => {
  it("counts the time that they wait on it", (t) => {
    const [publisher, other] = [new Vm("a"), new Vm("b")];
    publisher.digests.publish(TOPIC, 1);
    other.receive(publisher.takeNews());
    other.clock.changedByMs = WAITED_MS;
    const [item] = other.takeNews();
    t.is((item as AgingItem).ageMs, WAITED_MS);
  });
});
