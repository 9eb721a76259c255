/**
 * `ibisgap vm-dump`: prints the state of a gateway VM on the platform, with the age of its data.
 *
 * @module
 */

import { defineCommand } from "citty";
import { exitCodes, fail, print } from "./client.ts";
import { addressArg, callVm } from "./vm_rpc.ts";

/** The command `ibisgap vm-dump IP:PORT [TASK]`. */
export const gatewayDump = defineCommand({
  meta: {
    name: "vm-dump",
    description:
      "Print what a gateway VM on the platform believes and has under way, as JSON",
  },
  args: {
    address: addressArg,
    task: {
      type: "positional",
      description: "only this task",
      required: false,
    },
  },
  async run({ args }) {
    const answer = await callVm(args.address, "dump");
    if (answer === undefined) return;
    const tasks = answer as Record<string, unknown>;
    if (args.task !== undefined && !(args.task in tasks)) {
      const known = Object.keys(tasks).join(", ");
      return fail({
        exitCode: exitCodes.usage,
        message: `there is no task "${args.task}"; tasks: ${known}`,
      });
    }
    const shown = args.task === undefined ? tasks : tasks[args.task];
    print(JSON.stringify(shown, null, 2));
  },
});
