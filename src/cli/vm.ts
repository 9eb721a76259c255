/**
 * Commands about one VM: `status`, `dump`, `metrics`, `drain`.
 *
 * @module
 */

import { defineCommand } from "citty";
import { callVm, fail, print, targetArgs } from "./client.ts";

interface StatusBody {
  readonly vm: {
    readonly id: string;
    readonly region: string;
    readonly failureDomain: string;
  };
  readonly startedAtMs: number;
  readonly nowMs: number;
  readonly tableVersion: number | null;
  readonly region: readonly {
    readonly id: string;
    readonly state: string;
    readonly tableVersion: number;
    readonly callerUrl: string;
  }[];
}

function statusText(status: StatusBody): string {
  const lines = [
    `VM ${status.vm.id} in region ${status.vm.region}, failure domain ${status.vm.failureDomain}`,
    `up ${
      Math.round((status.nowMs - status.startedAtMs) / 1000)
    } s, table version ${status.tableVersion ?? "none"}`,
    `VMs of the region:`,
    ...status.region.map((vm) =>
      `  ${vm.id.padEnd(24)} ${
        vm.state.padEnd(8)
      } v${vm.tableVersion}  ${vm.callerUrl}`
    ),
  ];
  return lines.join("\n");
}

/** The command `ibisgap status`. */
export const status = defineCommand({
  meta: {
    name: "status",
    description: "Show a VM, its table version and its region",
  },
  args: targetArgs,
  async run({ args }) {
    const result = await callVm(args, "GET", "/admin/status");
    if (result.isErr()) return fail(result.error);
    print(
      args.json
        ? JSON.stringify(result.value)
        : statusText(result.value as StatusBody),
    );
  },
});

/** The command `ibisgap dump`. */
export const dump = defineCommand({
  meta: {
    name: "dump",
    description: "Print the state of each task of a VM as JSON",
  },
  args: {
    ...targetArgs,
    task: {
      type: "positional",
      description: "only this task",
      required: false,
    },
  },
  async run({ args }) {
    const result = await callVm(args, "GET", "/admin/dump");
    if (result.isErr()) return fail(result.error);
    const tasks = result.value as Record<string, unknown>;
    if (args.task !== undefined && !(args.task in tasks)) {
      const known = Object.keys(tasks).join(", ");
      return fail({
        exitCode: 2,
        message: `there is no task "${args.task}"; tasks: ${known}`,
      });
    }
    const shown = args.task === undefined ? tasks : tasks[args.task];
    print(JSON.stringify(shown, null, args.json ? undefined : 2));
  },
});

/** The command `ibisgap metrics`. */
export const metrics = defineCommand({
  meta: {
    name: "metrics",
    description: "Print a VM's metrics as Prometheus text",
  },
  args: targetArgs,
  async run({ args }) {
    const result = await callVm(args, "GET", "/admin/metrics");
    if (result.isErr()) return fail(result.error);
    print(String(result.value));
  },
});

/** The command `ibisgap drain`. */
export const drain = defineCommand({
  meta: {
    name: "drain",
    description:
      "Stop a VM in good order: no new requests, open ones are finished",
  },
  args: targetArgs,
  async run({ args }) {
    const result = await callVm(args, "POST", "/admin/drain");
    if (result.isErr()) return fail(result.error);
    print(args.json ? JSON.stringify(result.value) : "draining");
  },
});
