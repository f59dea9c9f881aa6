/** Helpers that build the inputs of recorded runs. */

import { asId, type DomainId, type HostId } from "../../src/core/ids.ts";
import type { Fault } from "../../src/generated/replay.ts";
import type { InputLine, LineOf } from "../../src/replay/trace.ts";

/** Definition of a run to record. */
export interface Scenario {
  /** Base name of the file in `traces`. */
  readonly name: string;
  readonly header: LineOf<"header">;
  readonly inputs: readonly InputLine[];
  /** Expected answers by request id, independent of the recorded outcomes. */
  readonly expected: Readonly<Record<string, ExpectedAnswer>>;
}

/** Expected result of a request, or the errors with which it may fail. */
export type ExpectedAnswer =
  | { readonly result: unknown }
  | { readonly errors: readonly string[] };

/** Adds inputs to a scenario, each at a time in milliseconds. */
export interface ScenarioScript {
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
  put(atMs: number, session: string, options: PutOptions): void;
  get(atMs: number, session: string, options: GetOptions): void;
  send(
    atMs: number,
    session: string,
    frame: Readonly<Record<string, unknown>>,
  ): void;
  fault(atMs: number, fault: Fault): void;
}

interface PutOptions {
  readonly id: string;
  readonly key: string;
  readonly value: unknown;
  readonly tx?: string;
  readonly timeoutMs?: number;
}

interface GetOptions {
  readonly id: string;
  readonly key: string;
  readonly tx?: string;
}

const SERVICE = "ordering";
const DOMAINS = ["port-louis", "curepipe", "rose-belle"];
/** Workspace of sessions that are opened without one. */
export const DEFAULT_WORKSPACE = "attorneys";

const DEFAULT_HEADER = {
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
    { workspace: asId(DEFAULT_WORKSPACE), ratePerSecond: 60, burst: 120 },
    { workspace: asId("clerks"), ratePerSecond: 10, burst: 20 },
  ],
} satisfies Partial<LineOf<"header">>;

/** Creates a scenario with the inputs that `addInputs` adds. */
export function createScenario(
  options:
    & Pick<LineOf<"header">, "title" | "reason">
    & Partial<LineOf<"header">>
    & { readonly name: string }
    & Partial<Pick<Scenario, "expected">>,
  addInputs: (script: ScenarioScript) => void,
): Scenario {
  const { name, title, reason, expected = {}, ...overrides } = options;
  const inputs: InputLine[] = [];
  const service = SERVICE;
  const script: ScenarioScript = {
    open(atMs, session, { host, workspace = DEFAULT_WORKSPACE, tokenOf }) {
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
    put(atMs, session, { id, key, value, ...extraFields }) {
      const body = { op: "put", key, value };
      const request = { kind: "write", id, service, class: "order_place" };
      script.send(atMs, session, { ...request, body, ...extraFields });
    },
    get(atMs, session, { id, key, ...extraFields }) {
      const body = { op: "get", key };
      const request = { kind: "read", id, service, class: "status_lookup" };
      script.send(atMs, session, { ...request, body, ...extraFields });
    },
    send: (atMs, session, frame) =>
      inputs.push({ kind: "request", atMs, session, frame }),
    fault: (atMs, fault) => inputs.push({ kind: "fault", atMs, fault }),
  };
  addInputs(script);
  return {
    name,
    header: { kind: "header", title, reason, ...DEFAULT_HEADER, ...overrides },
    inputs: inputs.toSorted((a, b) => a.atMs - b.atMs),
    expected,
  };
}

/** Creates a frame that begins a transaction. */
export function createBeginFrame(id: string) {
  return { kind: "begin", id, service: SERVICE };
}

/** Creates a frame that commits the transaction that request `tx` began. */
export function createCommitFrame(id: string, tx: string) {
  return { kind: "end", id, service: SERVICE, tx, end: "commit" };
}

/** Creates a frame that queries the outcome of the earlier write `of`. */
export function createOutcomeFrame(id: string, of: string) {
  return { kind: "outcome", id, service: SERVICE, of };
}
