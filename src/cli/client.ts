/**
 * Calls from the operators' tool to a VM, and how its commands print results and fail.
 *
 * @module
 */

import got, { RequestError } from "got";
import { err, ok, type Result } from "neverthrow";

/** Exit codes of `ibisgap`. */
export const exitCodes = {
  ok: 0,
  failed: 1,
  usage: 2,
  unreachable: 3,
} as const;

/** Options of every command that calls a VM. */
export const targetArgs = {
  target: {
    type: "string",
    description: "base URL of any VM",
    default: "http://127.0.0.1:7070",
  },
  token: {
    type: "string",
    description: "operator's token; else the environment's IBISGAP_TOKEN",
  },
  json: { type: "boolean", description: "print JSON", default: false },
} as const;

/** The VM to call and the operator's token to call it with. */
export interface Target {
  readonly target: string;
  readonly token?: string;
}

/** Why a call to a VM failed. */
export interface CliError {
  readonly exitCode: number;
  readonly message: string;
  /** The body of the VM's answer, if there was an answer. */
  readonly body?: unknown;
}

const BROKEN_ANSWER: CliError = {
  exitCode: exitCodes.failed,
  message: "the VM's answer broke off",
};

/** Calls an operators' route of a VM. */
export async function callVm(
  target: Target,
  method: "GET" | "POST" | "PUT" | "DELETE",
  path: string,
  json?: unknown,
): Promise<Result<unknown, CliError>> {
  const token = target.token ?? process.env.IBISGAP_TOKEN ?? "";
  try {
    const response = await got(target.target.replace(/\/$/, "") + path, {
      method,
      headers: { authorization: `Bearer ${token}` },
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: 60_000 },
      ...(json === undefined ? {} : { json }),
    });
    const isJson = response.headers["content-type"]?.includes("json") ?? false;
    const body = parse(response.body);
    if (response.statusCode < 400) {
      // Without a length the connection may have ended inside the answer.
      const isBroken = isJson && body === undefined;
      return isBroken ? err(BROKEN_ANSWER) : ok(body ?? response.body);
    }
    const error = (body as { error?: { message?: string; code?: number } })
      ?.error;
    const message = error
      ? `${error.message} (code ${error.code})`
      : `HTTP ${response.statusCode}`;
    return err({
      exitCode: exitCodes.failed,
      message,
      body: body ?? response.body,
    });
  } catch (error) {
    const reason = error instanceof RequestError ? error.code : String(error);
    return err({
      exitCode: exitCodes.unreachable,
      message: `cannot reach ${target.target}: ${reason}`,
    });
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Prints a failure to standard error and sets the exit code. */
export function fail(error: CliError): void {
  process.stderr.write(`ibisgap: ${error.message}\n`);
  process.exitCode = error.exitCode;
}

/** Prints to standard output. */
export function print(text: string): void {
  process.stdout.write(text.endsWith("\n") ? text : text + "\n");
}
