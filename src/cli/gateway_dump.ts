/**
 * `ibisgap vm-dump`: prints the state of a gateway VM on the platform, with the age of its data. It uses the JSON-RPC
 * interface that the VMs use among themselves.
 *
 * @module
 */

import { defineCommand } from "citty";
import got from "got";
import { JSONRPCClient } from "json-rpc-2.0";
import { RPC_PATH } from "../gateway/mod.ts";
import { exitCodes, fail, print } from "./client.ts";

/** About as long as an operator is willing to wait at a terminal. */
const ANSWER_TIMEOUT_MS = 5_000;

/** Requests the state of a VM's tasks from its `peers` listener. Throws if the VM can't be reached. */
async function requestDump(address: string): Promise<Record<string, unknown>> {
  const client = new JSONRPCClient(async (payload) => {
    const answer = await got.post(`http://${address}${RPC_PATH}`, {
      json: payload as unknown as Record<string, unknown>,
      retry: { limit: 0 },
      timeout: { request: ANSWER_TIMEOUT_MS },
    }).json();
    client.receive(answer as Parameters<typeof client.receive>[0]);
  });
  return await client.request("dump", {}) as Record<string, unknown>;
}

/** The command `ibisgap vm-dump IP:PORT [TASK]`. */
export const gatewayDump = defineCommand({
  meta: {
    name: "vm-dump",
    description:
      "Print what a gateway VM on the platform believes and has under way, as JSON",
  },
  args: {
    address: {
      type: "positional",
      description: "IP:PORT of the VM's peers listener",
      required: true,
    },
    task: {
      type: "positional",
      description: "only this task",
      required: false,
    },
  },
  async run({ args }) {
    if (!/^[\w.]+:\d{1,5}$/.test(args.address)) {
      return fail({
        exitCode: exitCodes.usage,
        message: `"${args.address}" is not IP:PORT`,
      });
    }
    try {
      const tasks = await requestDump(args.address);
      if (args.task !== undefined && !(args.task in tasks)) {
        const known = Object.keys(tasks).join(", ");
        return fail({
          exitCode: exitCodes.usage,
          message: `there is no task "${args.task}"; tasks: ${known}`,
        });
      }
      const shown = args.task === undefined ? tasks : tasks[args.task];
      print(JSON.stringify(shown, null, 2));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      fail({
        exitCode: exitCodes.unreachable,
        message: `cannot reach ${args.address}: ${reason}`,
      });
    }
  },
});
