/** Replays a workload trace against the hosts of a fleet. */

import type { AnswerFrame } from "../src/core/answer.ts";
import { nowMs, sleep } from "../src/core/clock.ts";
import { asId, type ReqId, type WorkspaceId } from "../src/core/ids.ts";
import type { TraceLine } from "../src/generated/trace.ts";
import { type Client, tryConnect } from "./client.ts";
import { tryReadTrace } from "./trace_file.ts";

/** Request of a load with its answer; times in milliseconds. */
export interface RequestRecord {
  readonly id: ReqId;
  readonly line: TraceLine;
  /** Wall-clock time, as `answeredAt`. */
  readonly sentAt: number;
  readonly answeredAt: number;
  /** Undefined if no answer came in time. */
  readonly answer: AnswerFrame | undefined;
}

/** Reads a trace; throws an error that lists the invalid lines. */
export function readTrace(file: string): TraceLine[] {
  const trace = tryReadTrace(file);
  if (trace.isErr()) {
    throw new Error(trace.error.join("\n"));
  }
  return trace.value;
}

/** Options of a load; `urls` and `keys` are those of the fleet. */
export interface LoadOptions {
  readonly urls: readonly string[];
  readonly keys: ReadonlyMap<WorkspaceId, string>;
  readonly timeoutMs: number;
  /** Time after the start when sending stops, in milliseconds. */
  readonly endMs?: number;
  readonly onRecord?: (record: RequestRecord) => void;
}

/**
 * Sends each request at its time in the trace. Requests of one session run one
 * after the other, each at the next host, with the session token of the last
 * answer.
 */
export async function runLoad(
  trace: readonly TraceLine[],
  options: LoadOptions,
): Promise<RequestRecord[]> {
  const startedAt = nowMs();
  const startedAtWallMs = Date.now();
  const records: RequestRecord[] = [];
  const sessions = groupBySession(trace);
  const idPrefix = `r${startedAtWallMs.toString(36)}-`;
  const endMs = options.endMs ?? Infinity;
  let nextId = 1;

  async function runSession(lines: readonly TraceLine[]): Promise<void> {
    const clients = new Map<string, Client>();
    let token = "";
    let hostIndex = nextId;
    for (const line of lines) {
      await sleep(Math.max(0, startedAt + line.atMs - nowMs()));
      if (nowMs() - startedAt > endMs) {
        break;
      }
      const id = asId<ReqId>(`${idPrefix}${nextId++}`);
      const sentAt = Date.now();
      const client = await getClient(clients, {
        firstHostIndex: hostIndex++,
        line,
        token,
      });
      const answer = await client?.request(
        toRequest(line, id),
        options.timeoutMs + 1_000,
      );
      token = answer?.token || token;
      const record = { id, line, sentAt, answeredAt: Date.now(), answer };
      records.push(record);
      options.onRecord?.(record);
    }
    clients.forEach((client) => client.close());
  }

  /** Returns a client of the first available host from `firstHostIndex` on. */
  async function getClient(
    clients: Map<string, Client>,
    request: {
      readonly firstHostIndex: number;
      readonly line: TraceLine;
      readonly token: string;
    },
  ): Promise<Client | undefined> {
    const { firstHostIndex, line, token } = request;
    const key = options.keys.get(line.workspace) ?? "";
    for (let index = 0; index < options.urls.length; index++) {
      const url = options.urls[(firstHostIndex + index) % options.urls.length]!;
      const existing = clients.get(url);
      if (existing?.isOpen() && existing.token === token) {
        return existing;
      }
      existing?.close();
      const client = await tryConnect(url, { key, token });
      if (client) {
        clients.set(url, client);
        return client;
      }
    }
    return undefined;
  }

  function toRequest(line: TraceLine, id: ReqId) {
    const common = {
      id,
      service: line.service,
      class: line.class,
      body: line.body,
      timeoutMs: options.timeoutMs,
    };
    return line.access === "read" ? { kind: "read" as const, ...common } : {
      kind: "write" as const,
      ...common,
      repeatable: !line.unrepeatable,
    };
  }

  await Promise.all([...sessions.values()].map(runSession));
  return records;
}

function groupBySession(
  trace: readonly TraceLine[],
): Map<string, TraceLine[]> {
  const sessions = new Map<string, TraceLine[]>();
  for (const line of trace) {
    const lines = sessions.get(line.session) ?? [];
    lines.push(line);
    sessions.set(line.session, lines);
  }
  return sessions;
}
