/**
 * `ibisgap vm-clear`: lets a request or a part of prompts run again that crashed upstreams, on all VMs.
 *
 * @module
 */

import { defineCommand } from "citty";
import { exitCodes, fail, print } from "./client.ts";
import { addressArg, callVm } from "./vm_rpc.ts";

/** The command `ibisgap vm-clear IP:PORT HASH`. */
export const clearSuspect = defineCommand({
  meta: {
    name: "vm-clear",
    description:
      "Let a suspected request or part of prompts run again on all VMs, once its program was mended",
  },
  args: {
    address: addressArg,
    hash: {
      type: "positional",
      description: "the hash after `blamed=` in the logs",
      required: true,
    },
  },
  async run({ args }) {
    const cleared = await callVm(args.address, "clearSuspect", {
      trait: args.hash,
    });
    if (cleared === undefined) return;
    if (cleared === 0) {
      return fail({
        exitCode: exitCodes.usage,
        message: `no crash counts against "${args.hash}"`,
      });
    }
    print(`cleared of ${cleared} crashes; other VMs are told`);
  },
});
