/** Patterns: requests for tokens that are lost, repeated, refused or late. */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type HostId, type WorkspaceId } from "../src/core/ids.ts";
import type { AskTokens } from "../src/generated/pool_peer.ts";
import { createOwnedQuotas } from "../src/pooling/owned_quotas.ts";
import { createTokenIssuer } from "../src/pooling/quota_tokens.ts";
import type { PoolIo } from "../src/pooling/types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const WORKSPACE = asId<WorkspaceId>("w1");
const OWNER = asId<HostId>("h1");
const STANDBY = asId<HostId>("h2");
const QUOTA = { ratePerS: 10, burst: 10 };

function createHost() {
  const sent: { readonly to: HostId; readonly msg: AskTokens }[] = [];
  const io = {
    peers: {
      send: (to: HostId, msg: AskTokens) => void sent.push({ to, msg }),
    },
    metrics: { count() {}, add() {} },
    log: { info() {} },
    random: () => 0,
  } as unknown as PoolIo;
  const quotas = createOwnedQuotas(io, {
    self: asId("h0"),
    checkClock() {},
    listOwners: () => [OWNER, STANDBY],
    grantLocally: () => undefined,
  });
  quotas.setQuotas(new Map([[WORKSPACE, QUOTA]]));
  function take(): string[] {
    const outcomes: string[] = [];
    void quotas.takeToken(WORKSPACE, { maxWaitMs: 300 }).then((result) =>
      outcomes.push(
        result.isOk() ? "taken" : `${result.error.retryAfterMs ?? "none"}`,
      )
    );
    return outcomes;
  }
  function answer(
    index: number,
    tokens: { readonly count: number; readonly retryMs: number },
  ): void {
    const { to, msg } = sent[index]!;
    quotas.handleTokens(to, { kind: "tell_tokens", id: msg.id, ...tokens });
  }
  return { quotas, sent, take, answer };
}

// Guards against refused statements that wait, and against owners that are
// asked for tokens which they said they do not have.
test("a refusal holds for the workspace until the next token", async () => {
  const { sent, take, answer } = createHost();
  const first = take();
  answer(0, { count: 0, retryMs: 200 });
  await vi.advanceTimersByTimeAsync(0);
  expect(first).toEqual(["200"]);
  await vi.advanceTimersByTimeAsync(150);
  const second = take();
  await vi.advanceTimersByTimeAsync(0);
  expect(second).toEqual(["50"]);
  expect(sent).toHaveLength(1);
  await vi.advanceTimersByTimeAsync(60);
  take();
  expect(sent).toHaveLength(2);
});

// Guards against tokens that are granted twice for one lost answer.
test("a request without an answer is repeated under its id, then moved", async () => {
  const { sent, take, answer } = createHost();
  const outcomes = take();
  await vi.advanceTimersByTimeAsync(60);
  expect(sent.map(({ to }) => to)).toEqual([OWNER, OWNER]);
  expect(sent[1]!.msg).toEqual(sent[0]!.msg);
  await vi.advanceTimersByTimeAsync(60);
  expect(sent[2]!.to).toBe(STANDBY);
  expect(sent[2]!.msg.id).not.toBe(sent[0]!.msg.id);
  answer(2, { count: 1, retryMs: 0 });
  await vi.advanceTimersByTimeAsync(0);
  expect(outcomes).toEqual(["taken"]);
});

// Guards against tokens that are used long after they were counted.
test("a token is lost 400 ms after its request was first sent", async () => {
  const { sent, take, answer } = createHost();
  take();
  await vi.advanceTimersByTimeAsync(350);
  answer(0, { count: 1, retryMs: 0 });
  await vi.advanceTimersByTimeAsync(60);
  const late = take();
  await vi.advanceTimersByTimeAsync(0);
  expect(late).toEqual([]);
  expect(sent.at(-1)!.msg.need).toBe(1);
});

// Guards against a wrong answer that creates tokens.
test("no more tokens are taken than were asked for", async () => {
  const { take, answer } = createHost();
  const first = take();
  answer(0, { count: 5, retryMs: 0 });
  const second = take();
  await vi.advanceTimersByTimeAsync(0);
  expect(first).toEqual(["taken"]);
  expect(second).toEqual([]);
});

// Guards against a new owner whose buckets are full, and against tokens granted
// ahead to one host while others have statements that wait.
test("an owner begins with empty buckets and keeps a reserve for needs", () => {
  const issuer = createTokenIssuer({
    since: performance.now(),
    mayUseTolerance: false,
  });
  const grant = (need: number, ahead: number) =>
    issuer.grant(WORKSPACE, { quota: QUOTA, request: { need, ahead } });
  expect(grant(1, 0)).toEqual({ count: 0, retryMs: 100 });
  expect(grant(1, 0).retryMs).toBe(200);
  vi.advanceTimersByTime(1_000);
  // Of 10 tokens, a quarter of the burst is not granted ahead.
  expect(grant(1, 20).count).toBe(7);
  expect(grant(4, 0)).toEqual({ count: 3, retryMs: 100 });
});
