/**
 * Runs stand-in upstreams as a process. It prints one JSON line `{"type", "id", "url", "controlUrl"}` for each, then
 * serves until SIGTERM or SIGINT.
 *
 * @module
 */

import { defineCommand, runMain } from "citty";
import { openEngine } from "./engine.ts";
import { openPlainService } from "./plain.ts";

const command = defineCommand({
  meta: { name: "upstreams", description: "Runs stand-in upstreams" },
  args: {
    engines: { type: "string", default: "1", description: "How many engines" },
    plains: { type: "string", default: "0", description: "How many services" },
    "port-base": {
      type: "string",
      default: "0",
      description: "First port, the others follow; 0 lets the system choose",
    },
    options: {
      type: "string",
      default: "{}",
      description: "Options of every engine, as JSON",
    },
    "plain-options": {
      type: "string",
      default: "{}",
      description: "Options of every plain service, as JSON",
    },
  },
  async run({ args }) {
    let port = Number(args["port-base"]);
    const nextPort = () => port === 0 ? 0 : port++;
    const opened: OpenUpstream[] = [];
    for (let i = 0; i < Number(args.engines); i++) {
      const options = { ...JSON.parse(args.options), port: nextPort() };
      opened.push(printUpstream(`e${i}`, "engine", await openEngine(options)));
    }
    for (let i = 0; i < Number(args.plains); i++) {
      const options = {
        ...JSON.parse(args["plain-options"]),
        port: nextPort(),
      };
      opened.push(
        printUpstream(`p${i}`, "plain", await openPlainService(options)),
      );
    }
    const closeAll = () => {
      void Promise.all(opened.map((upstream) => upstream.close()));
    };
    process.once("SIGTERM", closeAll);
    process.once("SIGINT", closeAll);
  },
});

interface OpenUpstream {
  readonly url: string;
  readonly controlUrl: string;
  close(): Promise<void>;
}

function printUpstream(
  id: string,
  type: string,
  upstream: OpenUpstream,
): OpenUpstream {
  const { url, controlUrl } = upstream;
  console.log(JSON.stringify({ type, id, url, controlUrl }));
  return upstream;
}

await runMain(command);
