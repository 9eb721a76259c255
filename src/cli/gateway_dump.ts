/**
 * `ibisgap vm-dump`: what a VM of the platform's gateway believes, with ages, asked over the VMs' own questions.
 *
 * @module
 */

import { defineCommand } from "citty";
import got from "got";
import { JSONRPCClient } from "json-rpc-2.0";
import { RPC_PATH } from "../gateway/mod.ts";
import { exitCodes, fail, print } from "./client.ts";

/** An operator at a terminal waits about this long. */
const ANSWER_TIMEOUT_MS = 5_000;

/** Asks a VM's `peers` listener for the state of its tasks. Throws if it cannot be reached. */
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

/** `ibisgap vm-dump IP:PORT [TASK]` */
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
