/**
 * What the VMs and the store hold at the end of a run.
 *
 * @module
 */

import { RPC_PATH } from "../src/replication/mod.ts";
import type { World } from "./world.ts";

/** The configuration, the evacuations and the upstreams that a VM uses, or that the store holds. */
export interface View {
  readonly configVersion: number | undefined;
  /** Evacuated failure domains. */
  readonly evacuated: readonly string[];
  /** Each upstream with its start, service, address, failure domain and state. */
  readonly upstreams: readonly string[];
}

/** A VM's view; absent if the VM did not answer. */
export interface VmView {
  readonly vm: number;
  readonly view: View | undefined;
}

/** The part of a VM's dump that is compared; `npx ibisgap vm-dump IP:PORT beliefs` prints it. */
interface StoreViewDump {
  readonly configVersion: number | undefined;
  readonly fleet: {
    readonly evacuated: readonly string[];
    readonly upstreams: readonly {
      readonly key: string;
      readonly service: string;
      readonly host: string;
      readonly port: number;
      readonly failureDomain: string;
      readonly state: string;
    }[];
  };
}

const ANSWER_TIMEOUT_MS = 5_000;
const EVACUATION_PREFIX = "op/evacuate/";
const UPSTREAM_PREFIX = "servers/";

/** Asks every VM for its view, past its proxies. */
export function askVmViews(world: World): Promise<VmView[]> {
  return Promise.all(world.vms.map(async ({ index, proxies }) => {
    const { host, port } = proxies.peers.target;
    try {
      const answer = await fetch(`http://${host}:${port}${RPC_PATH}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          jsonrpc: "2.0",
          id: 1,
          method: "dump",
          params: {},
        }),
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      const { result } = await answer.json() as {
        result: { beliefs: StoreViewDump };
      };
      return { vm: index, view: readDump(result.beliefs) };
    } catch {
      return { vm: index, view: undefined };
    }
  }));
}

/** Reads the same from the store's entries. */
export function readStoreView({ store }: World): View {
  const { entries } = store.store.copy();
  const keysAfter = (prefix: string) =>
    entries.filter(({ key }) => key.startsWith(prefix))
      .map(({ key, value }) => ({ name: key.slice(prefix.length), value }));
  const config = entries.find(({ key }) => key === "op/config");
  return {
    configVersion: config && JSON.parse(config.value).version,
    evacuated: keysAfter(EVACUATION_PREFIX).map(({ name }) => name),
    upstreams: keysAfter(UPSTREAM_PREFIX).map(({ name, value }) => {
      const { service, address, zone, state, born } = JSON.parse(value);
      return `${name}@${born} ${service} ${address} ${zone} ${state}`;
    }),
  };
}

function readDump({ configVersion, fleet }: StoreViewDump): View {
  const upstreams = fleet.upstreams.map((upstream) => {
    const { key, service, host, port, failureDomain, state } = upstream;
    return `${key} ${service} ${host}:${port} ${failureDomain} ${state}`;
  });
  return { configVersion, evacuated: fleet.evacuated, upstreams };
}

/** Says how a VM's view differs from the store's; empty if it does not. */
export function describeDifferences(view: View, stored: View): string[] {
  const configs = view.configVersion === stored.configVersion
    ? []
    : [`configuration ${view.configVersion}, not ${stored.configVersion}`];
  return [
    ...configs,
    ...describeSets("evacuation", view.evacuated, stored.evacuated),
    ...describeSets("upstream", view.upstreams, stored.upstreams),
  ];
}

function describeSets(
  what: string,
  held: readonly string[],
  stored: readonly string[],
): string[] {
  const extra = held.filter((name) => !stored.includes(name));
  const missing = stored.filter((name) => !held.includes(name));
  return [
    ...extra.map((name) => `holds ${what} ${name}`),
    ...missing.map((name) => `lacks ${what} ${name}`),
  ];
}
