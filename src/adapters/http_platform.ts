/**
 * The clients of the weight store, the callers' directory and the VM list, which use JSON over HTTP.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  CallerDirectory,
  type DirectoryEntry,
  type ListedVm,
  VmList,
  type Weights,
  WeightStore,
} from "./platform.ts";
import {
  PlatformClient,
  type PlatformError,
  type PlatformOptions,
  toPlatformError,
} from "./platform_client.ts";

const listedVms = z.object({
  vms: z.array(z.object({
    id: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    peerAddress: z.string(),
    state: z.enum(["live", "leaving"]),
  })),
});

/** Reads the VM list by `GET /vms`. */
export class HttpVmList extends VmList {
  readonly #client: PlatformClient;

  constructor(options: PlatformOptions) {
    super();
    this.#client = new PlatformClient(options);
  }
  async list(): Promise<Result<readonly ListedVm[], PlatformError>> {
    const answer = await this.#client.call("GET", "/vms");
    if (answer.isErr()) return err(answer.error);
    if (answer.value.status !== 200) return err(toPlatformError(answer.value));
    const parsed = listedVms.safeParse(answer.value.body);
    if (parsed.success) return ok(parsed.data.vms);
    return err({ kind: "unavailable", message: "the VM list is malformed" });
  }
  close(): Promise<void> {
    this.#client.close();
    return Promise.resolve();
  }
}

/** Writes to the weight store by `PUT /weights/SERVICE/REGION`. */
export class HttpWeightStore extends WeightStore {
  readonly #client: PlatformClient;

  constructor(options: PlatformOptions) {
    super();
    this.#client = new PlatformClient(options);
  }
  publish(
    service: string,
    region: string,
    weights: Weights,
  ): Promise<Result<void, PlatformError>> {
    const path = `/weights/${encodeURIComponent(service)}/${
      encodeURIComponent(region)
    }`;
    return putJson(this.#client, path, { weights });
  }
  close(): Promise<void> {
    this.#client.close();
    return Promise.resolve();
  }
}

/** Writes to the callers' directory by `PUT /directory/REGION`. */
export class HttpCallerDirectory extends CallerDirectory {
  readonly #client: PlatformClient;

  constructor(options: PlatformOptions) {
    super();
    this.#client = new PlatformClient(options);
  }
  publish(
    region: string,
    entries: readonly DirectoryEntry[],
  ): Promise<Result<void, PlatformError>> {
    const path = `/directory/${encodeURIComponent(region)}`;
    return putJson(this.#client, path, { entries });
  }
  close(): Promise<void> {
    this.#client.close();
    return Promise.resolve();
  }
}

async function putJson(
  client: PlatformClient,
  path: string,
  body: unknown,
): Promise<Result<void, PlatformError>> {
  const answer = await client.call("PUT", path, body);
  if (answer.isErr()) return err(answer.error);
  return answer.value.status === 200
    ? ok(undefined)
    : err(toPlatformError(answer.value));
}
