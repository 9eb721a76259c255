/**
 * Calls gateway VMs on the platform by the JSON-RPC interface that they use among themselves.
 *
 * @module
 */

import got from "got";
import { JSONRPCClient } from "json-rpc-2.0";
import { RPC_PATH } from "../replication/mod.ts";
import { exitCodes, fail } from "./client.ts";

/** About as long as an operator is willing to wait at a terminal. */
const ANSWER_TIMEOUT_MS = 5_000;

/** The argument that names a VM. */
export const addressArg = {
  type: "positional",
  description: "IP:PORT of the VM's peers listener",
  required: true,
} as const;

/**
 * Calls a method of the VM at `address`, which is IP:PORT. Resolves to `undefined` if that is no address or the VM can't
 * be reached; what went wrong has been printed then.
 */
export async function callVm(
  address: string,
  method: string,
  params: Record<string, unknown> = {},
): Promise<unknown> {
  if (!/^[\w.]+:\d{1,5}$/.test(address)) {
    fail({
      exitCode: exitCodes.usage,
      message: `"${address}" is not IP:PORT`,
    });
    return undefined;
  }
  const client = new JSONRPCClient(async (payload) => {
    const answer = await got.post(`http://${address}${RPC_PATH}`, {
      json: payload as unknown as Record<string, unknown>,
      retry: { limit: 0 },
      timeout: { request: ANSWER_TIMEOUT_MS },
    }).json();
    client.receive(answer as Parameters<typeof client.receive>[0]);
  });
  try {
    return await client.request(method, params) as unknown;
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    fail({
      exitCode: exitCodes.unreachable,
      message: `cannot reach ${address}: ${reason}`,
    });
    return undefined;
  }
}
