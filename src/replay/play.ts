/** Plays recorded inputs on an in-process fleet with a fake clock. */

import { type Clock, install } from "@sinonjs/fake-timers";
import type { CallerSession, RequestFrame } from "../core/entry.ts";
import { getErrorAnswer } from "../core/errors.ts";
import { asId, type ReqId } from "../core/ids.ts";
import type { Answer } from "../core/types.ts";
import { validateCallerFrame } from "../generated/caller_validate.ts";
import type { CheckedBody, CheckedReq } from "../../tools/check/history.ts";
import { countInvariants, listGroupLines, type TimedFault } from "./counts.ts";
import type { LocalHost } from "../../standins/local_fleet.ts";
import { sleep } from "../core/clock.ts";
import { createReplayFleet, type ReplayFleet } from "./replay_fleet.ts";
import type { InputLine, LineOf, OutcomeLine, RecordedRun } from "./trace.ts";

/** Time that a new fleet gets to become ready, in milliseconds. */
const FLEET_START_MS = 2_000;
/** Wall-clock time at the start of every replay, in Unix milliseconds. */
const REPLAY_START_TIME_MS = Date.UTC(2026, 0, 1);

const FROZEN_POLL_INTERVAL_MS = 5;

const FAKED_APIS = [
  "setTimeout",
  "clearTimeout",
  "setInterval",
  "clearInterval",
  "Date",
  "performance",
] as const;

/**
 * Plays a run and returns its outcomes: first those of the inputs in their
 * order, then the groups and the violated invariants.
 */
export async function playRun(
  run: Pick<RecordedRun, "header" | "inputs">,
): Promise<OutcomeLine[]> {
  const clock = install({ now: REPLAY_START_TIME_MS, toFake: [...FAKED_APIS] });
  try {
    return await playWithClock(clock, run);
  } finally {
    clock.uninstall();
  }
}

async function playWithClock(
  clock: Clock,
  { header, inputs }: Pick<RecordedRun, "header" | "inputs">,
): Promise<OutcomeLine[]> {
  const fleet = createReplayFleet(header);
  await clock.tickAsync(FLEET_START_MS);
  const player = createPlayer(fleet);
  let atMs = 0;
  for (const input of inputs) {
    await clock.tickAsync(Math.max(0, input.atMs - atMs));
    atMs = Math.max(atMs, input.atMs);
    player.handleInput(input);
  }
  await clock.tickAsync(Math.max(0, header.endMs - atMs));
  const outcomes = [
    ...player.listOutcomes(),
    ...listGroupLines(fleet),
    countInvariants(fleet, {
      header,
      reqs: player.listReqs(),
      faults: player.listFaults(),
    }),
  ];
  fleet.stop();
  return outcomes;
}

/** Request that was sent, and its answer once it has arrived. */
interface SentRequest {
  readonly line: LineOf<"request">;
  readonly frame: RequestFrame;
  readonly workspace: string;
  readonly sentAt: number;
  answeredAt: number;
  answer: Answer | undefined;
}

/** Open session with its entry host and the process that opened it. */
interface OpenSession {
  readonly session: CallerSession;
  readonly host: LocalHost;
  readonly process: LocalHost["host"];
}

/**
 * Waits while the session's host is frozen. Returns whether the process that
 * opened the session is still running.
 */
async function waitUntilRunning(openSession: OpenSession): Promise<boolean> {
  while (openSession.host.state === "frozen") {
    await sleep(FROZEN_POLL_INTERVAL_MS);
  }
  return openSession.host.state === "running" &&
    openSession.host.host === openSession.process;
}

interface Player {
  handleInput(input: InputLine): void;
  listOutcomes(): OutcomeLine[];
  listReqs(): CheckedReq[];
  /** Lists the faults and operators' changes that were applied. */
  listFaults(): readonly TimedFault[];
}

function createPlayer(fleet: ReplayFleet): Player {
  const sessions = new Map<string, OpenSession>();
  const workspaces = new Map<string, string>();
  const sessionTokens = new Map<string, string>();
  const outcomes: (() => OutcomeLine)[] = [];
  const sentRequests: SentRequest[] = [];
  const faults: TimedFault[] = [];

  function openSession(line: LineOf<"open">): void {
    const sessionToken = line.tokenOf
      ? sessionTokens.get(line.tokenOf)
      : undefined;
    const { session, workspace } = line;
    const opened = fleet.getHost(line.host).host.entry.open({
      kind: "hello",
      key: fleet.keys.get(workspace) ?? "",
      ...(sessionToken ? { token: sessionToken } : {}),
    });
    workspaces.set(session, workspace);
    if (opened.isOk()) {
      const host = fleet.getHost(line.host);
      const process = host.host;
      sessions.set(session, { session: opened.value, host, process });
    }
    const outcome: OutcomeLine = opened.isOk()
      ? { kind: "opened", session, ok: true }
      : { kind: "opened", session, ok: false, error: opened.error.error };
    outcomes.push(() => outcome);
  }

  function sendRequest(line: LineOf<"request">): void {
    const frame = resolveTransactionId(line.frame);
    const session = sessions.get(line.session);
    const sentRequest: SentRequest = {
      line,
      frame,
      workspace: workspaces.get(line.session) ?? "",
      sentAt: Date.now(),
      answeredAt: Infinity,
      answer: undefined,
    };
    sentRequests.push(sentRequest);
    outcomes.push(() => toAnswerLine(sentRequest));
    if (session) {
      void deliver(session, sentRequest);
    }
  }

  /**
   * Sends a frame to the host and records the answer. A frame or an answer is
   * lost if the host's process has ended.
   */
  async function deliver(
    openSession: OpenSession,
    sentRequest: SentRequest,
  ): Promise<void> {
    if (!await waitUntilRunning(openSession)) {
      return;
    }
    const answer = await openSession.session.request(sentRequest.frame);
    if (await waitUntilRunning(openSession)) {
      sentRequest.answer = answer;
      sentRequest.answeredAt = Date.now();
      sessionTokens.set(sentRequest.line.session, answer.token);
    }
  }

  /**
   * Replaces the request id of a begin in `tx` by the transaction id that the
   * begin was answered with. Throws if the frame is not a valid request.
   */
  function resolveTransactionId(frame: Readonly<Record<string, unknown>>) {
    const begin = sentRequests.find((s) => s.frame.id === frame.tx)?.answer;
    const tx = begin?.kind === "done" ? `${begin.result}` : frame.tx;
    const resolved: unknown = tx === undefined ? frame : { ...frame, tx };
    if (!validateCallerFrame(resolved) || resolved.kind === "hello") {
      throw new Error(`not a valid request frame: ${JSON.stringify(frame)}`);
    }
    return resolved;
  }

  return {
    handleInput(input) {
      switch (input.kind) {
        case "open":
          return openSession(input);
        case "close":
          return sessions.get(input.session)?.session.end();
        case "request":
          return sendRequest(input);
        case "fault":
          faults.push({ fault: input.fault, appliedAt: Date.now() });
          return fleet.applyFault(input.fault);
      }
    },
    listOutcomes: () => outcomes.map((get) => get()),
    listFaults: () => faults,
    listReqs: () => sentRequests.flatMap(toCheckedReqs),
  };
}

function toAnswerLine({ frame, answer }: SentRequest): OutcomeLine {
  const id = asId<ReqId>(frame.id);
  if (!answer) {
    return { kind: "answer", id };
  }
  if (answer.kind === "failed") {
    return { kind: "answer", id, ok: false, error: answer.failure.error };
  }
  // Transaction ids are random, so the result of a begin is left out.
  const result = frame.kind === "begin" ? {} : { result: answer.result };
  const { servedBy } = answer;
  return { kind: "answer", id, ok: true, ...result, servedBy };
}

function toCheckedReqs(request: SentRequest): CheckedReq[] {
  const { frame, line, workspace, sentAt, answeredAt } = request;
  const op = tryGetCheckedOp(line, frame);
  const commonFields = { id: frame.id, workspace, session: line.session };
  const answer = toCheckedAnswer(request.answer);
  return op ? [{ ...commonFields, sentAt, answeredAt, op, answer }] : [];
}

function tryGetCheckedOp(
  line: LineOf<"request">,
  frame: RequestFrame,
): CheckedReq["op"] | undefined {
  const tx = typeof line.frame.tx === "string" ? { tx: line.frame.tx } : {};
  switch (frame.kind) {
    case "read": {
      const { key } = frame.body as CheckedBody;
      return { kind: "read", key, ...tx };
    }
    case "write": {
      const change = frame.body as Exclude<CheckedBody, { op: "get" }>;
      const unrepeatable = !frame.repeatable;
      return { kind: "write", change, unrepeatable, ...tx };
    }
    case "begin":
      return { kind: "begin", tx: frame.id };
    case "end":
      return { kind: "end", tx: tx.tx ?? "", end: frame.end };
    case "outcome":
      return undefined;
  }
}

function toCheckedAnswer(answer: Answer | undefined): CheckedReq["answer"] {
  if (!answer) {
    return undefined;
  }
  if (answer.kind === "done") {
    return { ok: true, result: answer.result, servedBy: answer.servedBy };
  }
  const { error } = answer.failure;
  return { ok: false, error, run: getErrorAnswer(error).run };
}
