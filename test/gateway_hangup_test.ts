import { spawn } from "node:child_process";
import { once } from "node:events";
import { describe, it } from "../src/base/describe.ts";

/** Returns the URL of a compiled module of the gateway. */
function urlOf(name: string): string {
  return new URL(`../src/gateway/${name}.js`, import.meta.url).href;
}

/** Runs a program that gets SIGHUP from itself; returns how it ended and what it wrote. */
async function run(
  ...args: string[]
): Promise<{ readonly end: unknown; readonly out: string }> {
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", "ignore"],
  });
  let out = "";
  child.stdout.on("data", (chunk: Buffer) => out += chunk);
  const [code, signal] = await once(child, "close");
  return { end: signal ?? code, out };
}

/** Guards against a change of the settings file right after the start that ends the process. */
describe("SIGHUP while a gateway starts", () => {
  it("is kept until there is something to do", async (t) => {
    const { end, out } = await run(
      "--input-type=module",
      "-e",
      `const { noteSignals, onHangup } = await import("${urlOf("signals")}");
       noteSignals();
       process.kill(process.pid, "SIGHUP");
       setTimeout(() => onHangup(() => console.log("handled")), 50);`,
    );
    t.is(end, 0);
    t.is(out, "handled\n");
  });

  it("does not end the program while it loads the rest", async (t) => {
    // Without a settings file the daemon ends by itself, with 2, once it is loaded.
    const { end } = await run(
      "--input-type=module",
      "-e",
      `process.argv.length = 1;
       delete process.env.IBISGAP_NODE_FILE;
       const loaded = import("${urlOf("main")}");
       const until = setInterval(() => {
         if (process.listenerCount("SIGHUP") === 0) return;
         clearInterval(until);
         process.kill(process.pid, "SIGHUP");
       }, 1);
       await loaded;`,
    );
    t.is(end, 2);
  });
});

/** Guards against a stop that outlasts its time, as it counts only from the end of the start. */
describe("SIGTERM while a gateway starts", () => {
  it("is kept with the time at which it came first", async (t) => {
    const { end, out } = await run(
      "--input-type=module",
      "-e",
      `const { noteSignals, onStop } = await import("${urlOf("signals")}");
       noteSignals();
       const startMs = performance.now();
       process.kill(process.pid, "SIGTERM");
       setTimeout(() => process.kill(process.pid, "SIGTERM"), 400);
       const handle = (monoMs) => console.log(Math.round(monoMs - startMs));
       setTimeout(() => onStop(handle), 800);`,
    );
    t.is(end, 0);
    t.regex(out, /^\d+\n$/);
    t.true(Number(out) < 400, out);
  });
});
