/**
 * The process of a run's floods: their upstreams and their callers, apart from those whose answers are judged. Its
 * argument is a list of {@link FloodUpstreamPlace} as JSON.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { endWithParent } from "./end_with_parent.ts";
import { FloodCaller } from "./flood_caller.ts";
import type {
  FloodNotice,
  FloodOrder,
  FloodReport,
  FloodUpstreamPlace,
} from "./flood_messages.ts";
import { FloodUpstream } from "./flood_upstream.ts";

async function play({ name, flood, vms, forMs }: FloodOrder) {
  const callers = Array.from(
    { length: flood.connections },
    (_, index) => new FloodCaller({ flood, vms, name: `${name}-${index}` }),
  );
  const runs = callers.map((caller) => caller.run());
  await sleep(forMs);
  for (const caller of callers) caller.close();
  await Promise.all(runs);
  say(makeReport(name, callers));
}

function makeReport(
  name: string,
  callers: readonly FloodCaller[],
): FloodReport {
  const sum = (field: "connections" | "sentBytes" | "readBytes") =>
    callers.reduce((total, caller) => total + caller[field], 0);
  return {
    name,
    connections: sum("connections"),
    sentBytes: sum("sentBytes"),
    readBytes: sum("readBytes"),
  };
}

function say(notice: FloodNotice): void {
  if (process.connected) process.send!(notice);
}

endWithParent();
process.on("disconnect", () => process.exit());
process.on("message", (order: FloodOrder) => void play(order));
for (const place of JSON.parse(process.argv[2]) as FloodUpstreamPlace[]) {
  await FloodUpstream.open(place.id, place);
}
say("listening");
