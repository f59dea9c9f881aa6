/** Writes the inputs of a recorded run in few words. */

import { asId, type DomainId, type HostId } from "../../src/core/ids.ts";
import type { Fault } from "../../src/generated/replay.ts";
import type { InputLine, LineOf } from "../../src/replay/trace.ts";

/** A run before it is recorded. */
export interface Scenario {
  /** Name of the file under `traces`. */
  readonly name: string;
  readonly header: LineOf<"header">;
  readonly inputs: readonly InputLine[];
  /** What must come of requests, by their ids, whatever is recorded. */
  readonly expected: Readonly<Record<string, Expected>>;
}

/** A result that a request must have, or a failure of one of some kinds. */
export type Expected =
  | { readonly result: unknown }
  | { readonly errors: readonly string[] };

/** Collects the inputs of a scenario, each at its time in milliseconds. */
export interface Script {
  open(
    atMs: number,
    session: string,
    options: {
      readonly host: string;
      readonly workspace?: string;
      readonly tokenOf?: string;
    },
  ): void;
  close(atMs: number, session: string): void;
  put(atMs: number, session: string, rest: PutRest): void;
  get(atMs: number, session: string, rest: GetRest): void;
  send(
    atMs: number,
    session: string,
    frame: Readonly<Record<string, unknown>>,
  ): void;
  fault(atMs: number, fault: Fault): void;
}

interface PutRest {
  readonly id: string;
  readonly key: string;
  readonly value: unknown;
  readonly tx?: string;
  readonly timeoutMs?: number;
}

interface GetRest {
  readonly id: string;
  readonly key: string;
  readonly tx?: string;
}

const SERVICE = "ordering";
const DOMAINS = ["port-louis", "curepipe", "rose-belle"];
/** The workspace of a session that names none. */
export const ATTORNEYS = "attorneys";

const SIZES = {
  seed: 1,
  endMs: 6_000,
  hosts: 3,
  domains: DOMAINS.map(asId<DomainId>) as [DomainId, ...DomainId[]],
  service: asId(SERVICE),
  groups: 1,
  targetsPerGroup: 3,
  slots: 3,
  connectionsPerTarget: 20,
  connectMs: 10,
  statementMs: 2,
  targetLatencyMs: 0.5,
  lagMs: 20,
  peerLatencyMs: 0.5,
  platformLatencyMs: 2,
  workspaces: [
    { workspace: asId(ATTORNEYS), ratePerSecond: 60, burst: 120 },
    { workspace: asId("clerks"), ratePerSecond: 10, burst: 20 },
  ],
} satisfies Partial<LineOf<"header">>;

/** Builds a scenario from its script. */
export function createScenario(
  given:
    & Pick<LineOf<"header">, "title" | "reason">
    & Partial<LineOf<"header">>
    & { readonly name: string }
    & Partial<Pick<Scenario, "expected">>,
  write: (script: Script) => void,
): Scenario {
  const { name, title, reason, expected = {}, ...rest } = given;
  const inputs: InputLine[] = [];
  const service = SERVICE;
  const script: Script = {
    open(atMs, session, { host, workspace = ATTORNEYS, tokenOf }) {
      inputs.push({
        kind: "open",
        atMs,
        session,
        host: asId<HostId>(host),
        workspace: asId(workspace),
        ...(tokenOf ? { tokenOf } : {}),
      });
    },
    close: (atMs, session) => inputs.push({ kind: "close", atMs, session }),
    put(atMs, session, { id, key, value, ...more }) {
      const body = { op: "put", key, value };
      const request = { kind: "write", id, service, class: "order_place" };
      script.send(atMs, session, { ...request, body, ...more });
    },
    get(atMs, session, { id, key, ...more }) {
      const body = { op: "get", key };
      const request = { kind: "read", id, service, class: "status_lookup" };
      script.send(atMs, session, { ...request, body, ...more });
    },
    send: (atMs, session, frame) =>
      inputs.push({ kind: "request", atMs, session, frame }),
    fault: (atMs, fault) => inputs.push({ kind: "fault", atMs, fault }),
  };
  write(script);
  return {
    name,
    header: { kind: "header", title, reason, ...SIZES, ...rest },
    inputs: inputs.toSorted((a, b) => a.atMs - b.atMs),
    expected,
  };
}

/** A frame that begins a transaction. */
export function beginFrame(id: string) {
  return { kind: "begin", id, service: SERVICE };
}

/** A frame that commits the transaction of a begin. */
export function commitFrame(id: string, tx: string) {
  return { kind: "end", id, service: SERVICE, tx, end: "commit" };
}

/** A frame that asks for the outcome of an earlier write. */
export function outcomeFrame(id: string, of: string) {
  return { kind: "outcome", id, service: SERVICE, of };
}
