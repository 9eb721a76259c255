import type { IncomingMessage } from "node:http";
import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import { secretDigest } from "../base/mod.ts";
import {
  CONFIG_KEY,
  decodeConfig,
  decodeHead,
  forwardedHeaders,
  hashApiKeys,
} from "./mod.ts";

const KEY = "k-1";

function entryOf(tenants: unknown) {
  return {
    key: CONFIG_KEY,
    value: JSON.stringify({
      version: 3,
      routes: [],
      services: [],
      limits: {},
      tenants,
    }),
    rev: 9,
    createdRev: 1,
    leaseId: undefined,
  };
}

function decodeTenants(tenants: unknown) {
  return decodeConfig(hashApiKeys(entryOf(tenants) as never).value).workspaces;
}

function keyOf(sent: readonly string[]): string | undefined {
  const headers = { authorization: sent[0] };
  const rawHeaders = sent.flatMap((text) => ["Authorization", text]);
  return decodeHead(
    { headers, rawHeaders, url: "/" } as unknown as IncomingMessage,
  ).keyDigest;
}

describe("platform", () => {
  describe("workspaces of a configuration", () => {
    it("are decoded, with digests in place of their keys", (t) => {
      const entry = entryOf([{
        name: "convoys",
        api_keys: [KEY, "k-2"],
        priority: 1,
        unit: "tokens",
        plain_tokens: 200,
        rate_per_s: 50,
        burst: 70,
        home_regions: ["north"],
      }]);
      const sealed = hashApiKeys(entry as never);
      t.false(sealed.value.includes(`"${KEY}"`));
      const row = decodeConfig(sealed.value).workspaces
        .findByKeyDigest(secretDigest(KEY));
      t.deepEqual(row, {
        name: "convoys",
        keyDigests: [secretDigest(KEY), secretDigest("k-2")],
        priority: 1,
        homeRegions: ["north"],
        quota: {
          unit: "tokens",
          unitsPerS: 50,
          burstUnits: 70,
          plainTokens: 200,
        },
      });
    });

    it("without a rate have no limit", (t) => {
      for (const rate of [{}, { rate_per_s: 0, burst: 9 }]) {
        const workspaces = decodeTenants([{ name: "w", ...rate }]);
        t.is(workspaces.get("w")?.quota, undefined);
      }
    });

    it("require no key if they are not configured, and a key if their list is empty", (t) => {
      t.false(decodeTenants(undefined).isKeyRequired);
      t.true(decodeTenants([]).isKeyRequired);
    });

    it("that can't be read make the configuration unreadable, and are not passed on", (t) => {
      t.throws(() => decodeTenants([{ api_keys: [KEY] }]));
      t.throws(() => decodeTenants("x"));
      const broken = {
        ...entryOf([]),
        value: `{"tenants":[{"api_keys":["${KEY}`,
      };
      t.is(hashApiKeys(broken as never).value, "");
    });

    it("are not looked for in other entries", (t) => {
      const other = { ...entryOf([]), key: "op/evacuate/hall-a" };
      t.is(hashApiKeys(other as never), other as never);
    });
  });

  describe("a caller's key", () => {
    it("is read only in the form that the platform defines", (t) => {
      t.is(keyOf([`Bearer ${KEY}`]), secretDigest(KEY));
      t.is(keyOf([`bearer  ${KEY} `]), secretDigest(KEY));
      for (const text of ["", "Bearer", "Bearer ", KEY, `Basic ${KEY}`]) {
        t.is(keyOf([text]), undefined, text);
      }
      t.is(keyOf([`Bearer ${KEY}`, `Bearer ${KEY}`]), undefined);
    });

    it("has the digest of the key that was sent, or none, for any text", (t) => {
      fc.assert(fc.property(fc.string({ unit: "binary" }), (text) => {
        const digest = keyOf([`Bearer ${text}`]);
        t.true(
          digest === undefined ||
            digest === secretDigest(/\S+/.exec(text)![0]),
        );
      }));
    });
  });

  describe("headers to an upstream of a workspace's request", () => {
    const raw = [
      ...["Host", "h", "AUTHORIZATION", `Bearer ${KEY}`, "tenant", "forged"],
      ...["Tenant", "forged", "Ibisgap-Key-Digest", "d", "Model", "m"],
    ];

    it("hold the workspace's name and no key, whatever the caller sent", (t) => {
      t.deepEqual(forwardedHeaders(raw, { workspace: "convoys" }), [
        ...["Host", "h", "Model", "m", "Tenant", "convoys"],
      ]);
      t.deepEqual(forwardedHeaders(raw, { workspace: undefined }), [
        ...["Host", "h", "Model", "m"],
      ]);
    });

    it("never hold a caller's copy of a gateway header, in any spelling", (t) => {
      const name = fc.constantFrom(
        "authorization",
        "Authorization",
        "TENANT",
        "Hold",
        "kv-from",
        "Model",
        "X-Other",
        "Connection",
        "ibisgap-wait-ms",
      );
      const pairs = fc.array(fc.tuple(name, fc.string()));
      fc.assert(fc.property(pairs, (sent) => {
        const kept = forwardedHeaders(sent.flat(), { workspace: undefined });
        for (let at = 0; at < kept.length; at += 2) {
          t.regex(kept[at], /^(Model|X-Other)$/);
        }
      }));
    });
  });
});
