/** Relay before the store that damages its responses as HTTP, for tests. */

import { Buffer } from "node:buffer";
import { createServer, type IncomingMessage, type Server } from "node:http";
import fc from "fast-check";
import { assertNever } from "../src/core/errors.ts";
import {
  editJson,
  editText,
  JSON_EDITS,
  type JsonEdit,
  TEXT_EDITS,
  type TextEdit,
} from "./mutations.ts";

/** Longest wait of a watch while responses are damaged, in milliseconds. */
const DAMAGED_WATCH_WAIT_MS = 20;

/** Damage of one response. */
export type ResponseDamage =
  | { readonly kind: "json"; readonly edits: readonly JsonEdit[] }
  | { readonly kind: "text"; readonly edit: TextEdit }
  | { readonly kind: "body"; readonly body: string }
  | { readonly kind: "status"; readonly status: number }
  | { readonly kind: "header"; readonly name: string; readonly value: string }
  /** Less or more of the body than the header says, and then the end. */
  | { readonly kind: "length"; readonly length: number }
  /** Bytes that are not a response. */
  | { readonly kind: "raw"; readonly bytes: Uint8Array };

/** Generates damages; a higher era than the store's is not among them. */
export const RESPONSE_DAMAGES: fc.Arbitrary<ResponseDamage> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("json" as const),
      edits: fc.array(JSON_EDITS, { minLength: 1, maxLength: 3 }),
    }),
  },
  fc.record({ kind: fc.constant("text" as const), edit: TEXT_EDITS }),
  fc.record({
    kind: fc.constant("body" as const),
    body: fc.oneof(fc.json(), fc.string(), fc.constant("[".repeat(100_000))),
  }),
  fc.record({
    kind: fc.constant("status" as const),
    status: fc.constantFrom(204, 301, 400, 404, 409, 410, 429, 500, 503, 999),
  }),
  fc.record({
    kind: fc.constant("header" as const),
    name: fc.constantFrom("store-era", "content-length", "transfer-encoding"),
    value: fc.constantFrom(
      "",
      "0",
      "-1",
      "1e3",
      "x",
      "9".repeat(20),
      "chunked",
    ),
  }),
  fc.record({ kind: fc.constant("length" as const), length: fc.nat(2_000) }),
  fc.record({
    kind: fc.constant("raw" as const),
    bytes: fc.uint8Array({ maxLength: 60 }),
  }),
);

/** Relay that damages one response after the other until none is left. */
export interface StoreRelay {
  readonly server: Server;
  /** Damages the next responses, one each. */
  damage(damages: readonly ResponseDamage[]): void;
  countLeft(): number;
}

/** Creates the relay before the store at `port`; at first without damage. */
export function createStoreRelay(port: number): StoreRelay {
  let left: readonly ResponseDamage[] = [];
  const server = createServer((req, res) => {
    res.socket?.on("error", () => res.destroy());
    void fetchResponse(req).then(({ status, body, era }) => {
      const [damage, ...rest] = left;
      left = rest;
      if (!damage) {
        res.writeHead(status, { "store-era": era });
        res.end(body);
        return;
      }
      const bytes = encodeDamaged({ status, body, era }, damage);
      res.socket?.end(bytes);
    });
  });

  async function fetchResponse(req: IncomingMessage) {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
      chunks.push(chunk as Buffer);
    }
    const url = new URL(req.url!, `http://127.0.0.1:${port}`);
    if (left.length > 0 && url.searchParams.has("waitMs")) {
      url.searchParams.set("waitMs", `${DAMAGED_WATCH_WAIT_MS}`);
    }
    const res = await fetch(url, {
      method: req.method!,
      ...(chunks.length === 0 ? {} : { body: Buffer.concat(chunks) }),
    });
    const era = res.headers.get("store-era") ?? "1";
    return { status: res.status, body: await res.text(), era };
  }

  return {
    server,
    damage: (damages) => void (left = damages),
    countLeft: () => left.length,
  };
}

interface Response {
  readonly status: number;
  readonly body: string;
  readonly era: string;
}

function encodeDamaged(
  { status, body, era }: Response,
  damage: ResponseDamage,
): string | Uint8Array {
  const encode = (changed: Partial<Response>, headers = {}) =>
    encodeResponse({ status, body, era, ...changed }, headers);
  switch (damage.kind) {
    case "json": {
      const value = damage.edits.reduce(editJson, JSON.parse(body));
      return encode({ body: JSON.stringify(value) ?? "" });
    }
    case "text":
      return encode({ body: editText(body, damage.edit) });
    case "body":
      return encode({ status: 200, body: damage.body });
    case "status":
      return encode({ status: damage.status });
    case "header":
      return encode({}, { [damage.name]: damage.value });
    case "length":
      return encode({}, { "content-length": `${damage.length}` });
    case "raw":
      return damage.bytes;
    default:
      return assertNever(damage);
  }
}

function encodeResponse(
  { status, body, era }: Response,
  headers: Readonly<Record<string, string>>,
): string {
  const lines = Object.entries({
    "store-era": era,
    "content-length": `${Buffer.byteLength(body)}`,
    connection: "close",
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n${body}`;
}
