/**
 * Parses the body of a model call and extracts the data by which the call is placed.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Failure, failure, hash32 } from "../base/mod.ts";

/** Length of a prefix block, in characters. Engines cache blocks of about 16 tokens; larger blocks here keep the list short. */
const PREFIX_BLOCK_CHARS = 512;
/** Maximum number of blocks that are hashed. A shared prefix longer than this does not change the placement. */
const MAX_PREFIX_BLOCKS = 64;
/** Average number of characters per token in the users' languages. */
const CHARS_PER_TOKEN = 4;
/** Expected output tokens of a call that sets no maximum. */
const DEFAULT_OUTPUT_TOKENS = 256;

const contentSchema = z.union([
  z.string(),
  z.null(),
  z.array(z.looseObject({ type: z.string() })),
]);
const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(
    z.looseObject({ role: z.string(), content: contentSchema.optional() }),
  ).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  max_completion_tokens: z.number().int().min(1).nullish(),
});
const completionBodySchema = z.looseObject({
  model: z.string().min(1),
  prompt: z.union([
    z.string(),
    z.array(z.union([z.string(), z.number(), z.array(z.number())])),
  ]),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().min(1).nullish(),
});

/** The path of a model call. */
export type ModelPath = "/v1/chat/completions" | "/v1/completions";

/** A validated model call. */
export interface ModelRequest {
  readonly model: string;
  readonly stream: boolean;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly prefixHashes: readonly number[];
  /** The texts of the prompt's parts in order: messages, and the items of those that have several. */
  readonly parts: readonly string[];
  /** The parsed body, for {@link withPriority}. */
  readonly body: Readonly<Record<string, unknown>>;
}

/** Parses and validates the body of a model call. */
export function parseModelRequest(
  path: ModelPath,
  body: Uint8Array,
): Result<ModelRequest, Failure> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return err(failure("badRequest", { message: "the body is not JSON" }));
  }
  const parsed = path === "/v1/chat/completions"
    ? chatBodySchema.safeParse(value)
    : completionBodySchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return err(
      failure("badRequest", {
        message: `${issue.path.join(".") || "body"}: ${issue.message}`,
      }),
    );
  }
  const text = extractPromptText(parsed.data);
  const maxOutputTokens =
    (parsed.data.max_completion_tokens as number | undefined) ??
      parsed.data.max_tokens;
  return ok({
    model: parsed.data.model,
    stream: parsed.data.stream === true,
    promptTokens: Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN)),
    expectedOutputTokens: maxOutputTokens ?? DEFAULT_OUTPUT_TOKENS,
    prefixHashes: hashPrefixBlocks(text),
    parts: extractParts(parsed.data),
    body: parsed.data,
  });
}

/**
 * Returns the body with the priority that the lead assigned. It replaces a `priority` that the caller set, which would
 * let the caller skip ahead in the engine's queue.
 */
export function withPriority(
  request: ModelRequest,
  bytes: Buffer,
  priority: number,
): Buffer {
  if (priority === 0 && !("priority" in request.body)) return bytes;
  return Buffer.from(JSON.stringify({ ...request.body, priority }));
}

function extractPromptText(
  data: z.infer<typeof chatBodySchema> | z.infer<typeof completionBodySchema>,
): string {
  if ("messages" in data && Array.isArray(data.messages)) {
    const messages = data.messages as z.infer<
      typeof chatBodySchema
    >["messages"];
    return messages.map((m) => `${m.role}\n${toText(m.content)}`).join("\n");
  }
  return toText((data as z.infer<typeof completionBodySchema>).prompt);
}

function extractParts(
  data: z.infer<typeof chatBodySchema> | z.infer<typeof completionBodySchema>,
): string[] {
  if ("messages" in data && Array.isArray(data.messages)) {
    const messages = data.messages as z.infer<
      typeof chatBodySchema
    >["messages"];
    return messages.flatMap(({ role, content }) =>
      Array.isArray(content)
        ? content.map((item) => `${role}\n${toText(item)}`)
        : [`${role}\n${toText(content)}`]
    );
  }
  const { prompt } = data as z.infer<typeof completionBodySchema>;
  return Array.isArray(prompt) ? prompt.map(toText) : [prompt];
}

function toText(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value ?? "");
}

/** Hashes the leading blocks. Each hash also covers all text before its block, so equal hashes mean equal prefixes. */
export function hashPrefixBlocks(text: string): number[] {
  const hashes: number[] = [];
  let previousHash = 0;
  const blockCount = Math.min(
    MAX_PREFIX_BLOCKS,
    Math.floor(text.length / PREFIX_BLOCK_CHARS),
  );
  for (let i = 0; i < blockCount; i++) {
    previousHash = hash32(
      `${previousHash}:${
        text.slice(i * PREFIX_BLOCK_CHARS, (i + 1) * PREFIX_BLOCK_CHARS)
      }`,
    );
    hashes.push(previousHash);
  }
  return hashes;
}
