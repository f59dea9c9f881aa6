import fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type HostId, type WorkspaceId } from "../src/core/ids.ts";
import type { PoolPeerMessage } from "../src/generated/pool_peer.ts";
import { createMetrics } from "../src/host/metrics.ts";
import { createClockJumpDetector } from "../src/pooling/clock_jumps.ts";
import { createPositionHistory } from "../src/pooling/position_history.ts";
import { createHealth } from "../src/pooling/health.ts";
import {
  applyContext,
  countCommands,
  createLinkContext,
} from "../src/pooling/link_context.ts";
import { createQuotas } from "../src/pooling/quotas.ts";
import {
  createInitialLedger,
  type Demand,
  EMPTY_LEDGER,
  FULL_SHARE,
  type Ledger,
  listHolders,
  listReclaimable,
  reclaimShares,
  sumShares,
  tryAdjustRow,
  tryDecodeLedger,
} from "../src/pooling/share_ledger.ts";
import {
  getRequiredFencedCount,
  type ReportedTarget,
  tryChooseSuccessor,
} from "../src/pooling/succession.ts";
import { createTokenExchange } from "../src/pooling/token_exchange.ts";
import { createTokenBucket } from "../src/pooling/token_bucket.ts";
import type { TargetRecord } from "../src/pooling/types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const HOSTS = Array.from({ length: 5 }, (_, n) => asId<HostId>(`h${n}`));
const WORKSPACE = asId<WorkspaceId>("w");
const createPosition = (term: number, pos: number) => ({ term, pos });

test("the shares of all hosts never add up to more than the full share", () => {
  const step = fc.record({
    host: fc.constantFrom(...HOSTS),
    share: fc.integer({ min: 0, max: FULL_SHARE }),
    kind: fc.constantFrom("adjust", "reclaim"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const initialDemand = new Map([[WORKSPACE, { share: 0, burst: 100 }]]);
      let ledger: Ledger = createInitialLedger(
        HOSTS.slice(0, 3),
        initialDemand,
      );
      for (const { host, share, kind } of steps) {
        const demand = new Map<WorkspaceId, Demand>([
          [WORKSPACE, { share, burst: 100 }],
        ]);
        ledger = kind === "adjust"
          ? tryAdjustRow(ledger, { host, hosts: HOSTS, demand }) ?? ledger
          : reclaimShares(ledger, {
            hosts: listReclaimable(ledger, [host]),
            minShare: 100,
          });
        expect(sumShares(ledger, WORKSPACE)).toBeLessThanOrEqual(FULL_SHARE);
      }
    }),
    { seed: 7, numRuns: 300 },
  );
});

test("a row is reclaimed once, until its host changes it", () => {
  const demand = new Map([[WORKSPACE, { share: 3_000, burst: 100 }]]);
  const [a] = HOSTS as [HostId];
  let ledger: Ledger = {
    ...EMPTY_LEDGER,
    shares: { [a]: { [WORKSPACE]: 8_000 } },
  };
  ledger = reclaimShares(ledger, {
    hosts: listReclaimable(ledger, [a]),
    minShare: 0,
  });
  expect(ledger.shares[a]).toEqual({ [WORKSPACE]: 2_000 });
  expect(listReclaimable(ledger, [a])).toEqual([]);
  ledger = tryAdjustRow(ledger, { host: a, hosts: [a], demand })!;
  expect(listReclaimable(ledger, [a])).toEqual([a]);
});

test("a host returns the share that another host wants, and no more", () => {
  const demand = (share: number) =>
    new Map([[WORKSPACE, { share, burst: 100 }]]);
  const hosts = HOSTS.slice(0, 2);
  const [a, b] = hosts as [HostId, HostId];
  let ledger: Ledger = {
    shares: { [a]: { [WORKSPACE]: 8_000 }, [b]: { [WORKSPACE]: 2_000 } },
    wants: {},
    reclaimed: [],
    era: 3,
  };
  ledger = tryAdjustRow(ledger, { host: b, hosts, demand: demand(5_000) })!;
  expect(ledger.wants[b]).toEqual({ [WORKSPACE]: 5_000 });
  ledger = tryAdjustRow(ledger, { host: a, hosts, demand: demand(1_000) })!;
  ledger = tryAdjustRow(ledger, { host: b, hosts, demand: demand(5_000) })!;
  expect(ledger).toMatchSnapshot();
});

test("a small quota is shared by few hosts, a large one by all", () => {
  expect(listHolders(WORKSPACE, { hosts: HOSTS, burst: 100 })).toEqual(HOSTS);
  expect(listHolders(WORKSPACE, { hosts: HOSTS, burst: 9 }).length).toBe(2);
  expect(listHolders(WORKSPACE, { hosts: HOSTS, burst: 1 }).length).toBe(1);
});

test("a value that is not a ledger is rejected", () => {
  for (
    const value of [
      undefined,
      null,
      7,
      {},
      { shares: {} },
      { shares: { a: 1 }, wants: {} },
      { shares: { a: { w: "x" } }, wants: {} },
      { shares: { a: { w: -1 } }, wants: {} },
    ]
  ) {
    expect(tryDecodeLedger(value)).toBeUndefined();
  }
  expect(tryDecodeLedger(EMPTY_LEDGER)).toEqual(EMPTY_LEDGER);
});

test("a token bucket grants its rate, its burst and the tokens that peers lend", () => {
  const bucket = createTokenBucket({
    ratePerS: 10,
    burst: 5,
    initialTokens: 5,
  });
  const takeAll = () => {
    let taken = 0;
    while (bucket.tryTake()) {
      taken++;
    }
    return taken;
  };
  expect(takeAll()).toBe(5);
  vi.advanceTimersByTime(10_000);
  expect(takeAll()).toBe(5);
  bucket.add(3);
  expect(takeAll()).toBe(3);
  bucket.add(9);
  vi.advanceTimersByTime(1_000);
  // Unused borrowed tokens expire; the burst is not exceeded.
  expect(takeAll()).toBe(5);
  bucket.resize({ ratePerS: 0, burst: 0 });
  expect(bucket.getWaitMs(0)).toBe(Infinity);
});

test("an operation that cannot get a rate-limit token in time is refused at once", async () => {
  const quotas = createQuotas({
    checkLease() {},
    tolerance: { windowS: 5, part: 0, operations: 0 },
    isToleranceUnused: () => false,
    getUptimeMs: () => 0,
    random: () => 0,
    borrow: () => Promise.resolve(0),
  });
  quotas.setQuotas(new Map([[WORKSPACE, { ratePerS: 10, burst: 10 }]]));
  quotas.setShare(WORKSPACE, FULL_SHARE);
  vi.advanceTimersByTime(1_000);
  for (let n = 0; n < 10; n++) {
    expect((await quotas.takeToken(WORKSPACE, { maxWaitMs: 0 })).isOk()).toBe(
      true,
    );
  }
  // Whether peers have tokens is not known yet, so the operation waits 50 ms.
  const pending = quotas.takeToken(WORKSPACE, { maxWaitMs: 50 });
  await vi.advanceTimersByTimeAsync(50);
  expect((await pending).isErr()).toBe(true);
  await vi.advanceTimersByTimeAsync(10);
  const startedAt = performance.now();
  const refused = await quotas.takeToken(WORKSPACE, { maxWaitMs: 30 });
  expect(refused.isErr() && refused.error).toEqual({
    error: "over_quota",
    detail: "share 10000 of 10000, next token in 40 ms, peers have none",
    retryAfterMs: 40,
  });
  expect(performance.now() - startedAt).toBe(0);
  const waiting = quotas.takeToken(WORKSPACE, { maxWaitMs: 150 });
  await vi.advanceTimersByTimeAsync(100);
  expect((await waiting).isOk()).toBe(true);
});

test("the quota tolerance covers one start per window, not two", async () => {
  const take = async (isToleranceUnused: boolean) => {
    const quotas = createQuotas({
      checkLease() {},
      tolerance: { windowS: 5, part: 0.1, operations: 20 },
      isToleranceUnused: () => isToleranceUnused,
      getUptimeMs: () => 0,
      random: () => 0,
      borrow: () => Promise.resolve(0),
    });
    quotas.setQuotas(new Map([[WORKSPACE, { ratePerS: 10, burst: 10 }]]));
    quotas.setShare(WORKSPACE, FULL_SHARE / 2);
    let taken = 0;
    while ((await quotas.takeToken(WORKSPACE, { maxWaitMs: 0 })).isOk()) {
      taken++;
    }
    return taken;
  };
  // A tenth of 5 s of rate and of the burst, plus 20 operations, is 26; this
  // host's share is half.
  expect(await take(true)).toBe(13);
  expect(await take(false)).toBe(0);
});

// Pattern: a whole fleet restarts. Nobody has used its shares meanwhile, and
// clients that waited were refused although they were within their plans.
test.each([[0, 0], [600, 3], [60_000, 5]])(
  "a process that gets its share after %i ms starts with %i tokens of it",
  async (uptimeMs, expected) => {
    const quotas = createQuotas({
      checkLease() {},
      tolerance: { windowS: 5, part: 0, operations: 0 },
      isToleranceUnused: () => false,
      getUptimeMs: () => uptimeMs,
      random: () => 0,
      borrow: () => Promise.resolve(0),
    });
    quotas.setQuotas(new Map([[WORKSPACE, { ratePerS: 10, burst: 10 }]]));
    quotas.setShare(WORKSPACE, FULL_SHARE / 2);
    let taken = 0;
    while ((await quotas.takeToken(WORKSPACE, { maxWaitMs: 0 })).isOk()) {
      taken++;
    }
    expect(taken).toBe(expected);
  },
);

test("a read floor covers all commits acknowledged before the bound", () => {
  const history = createPositionHistory(createClockJumpDetector());
  expect(history.tryReadFloor({ maxStaleMs: 1_500 })).toBeUndefined();
  for (let n = 1; n <= 20; n++) {
    history.record(createPosition(1, n), performance.now());
    vi.advanceTimersByTime(100);
  }
  // Position n was recorded (21 - n) x 100 ms ago; the safety margin is 100 ms.
  expect(history.tryReadFloor({ maxStaleMs: 1_500 })).toEqual({
    position: createPosition(1, 7),
    ageMs: 1_400,
  });
  expect(
    history.tryReadFloor({
      maxStaleMs: 1_500,
      sessionPosition: createPosition(1, 19),
    })
      ?.position,
  )
    .toEqual(createPosition(1, 19));
});

test("positions of a newer term replace those of the older one", () => {
  const history = createPositionHistory(createClockJumpDetector());
  history.record(createPosition(1, 90), performance.now());
  vi.advanceTimersByTime(50);
  history.record(createPosition(2, 80), performance.now());
  history.record(createPosition(1, 95), performance.now());
  const sessionPosition = createPosition(1, 90);
  expect(
    history.tryReadFloor({ maxStaleMs: 1_500, sessionPosition })?.position,
  )
    .toEqual(createPosition(2, 80));
});

test("a jump of the wall clock discards recorded positions", () => {
  const history = createPositionHistory(createClockJumpDetector());
  history.record(createPosition(1, 1), performance.now());
  for (const jumpMs of [2_000, -2_000]) {
    vi.setSystemTime(Date.now() + jumpMs);
    expect(history.tryReadFloor({ maxStaleMs: 1_500 })).toBeUndefined();
    history.record(createPosition(1, 2), performance.now());
    expect(history.tryReadFloor({ maxStaleMs: 1_500 })?.position).toEqual(
      createPosition(1, 2),
    );
  }
});

test("a connection has exactly its session's variables and the required statement", () => {
  const variables = fc.dictionary(
    fc.constantFrom("a", "b", "c"),
    fc.constantFrom("1", "2"),
  );
  const prepared = fc.option(
    fc.record({
      access: fc.constantFrom("read" as const, "write" as const),
      shape: fc.constantFrom("q1", "q2"),
    }),
    { nil: undefined },
  );
  fc.assert(
    fc.property(
      fc.array(fc.record({ variables, prepared }), { maxLength: 12 }),
      (requirements) => {
        const context = createLinkContext();
        const appliedVariables = new Map<string, string>();
        const shapes = new Map<string, string>();
        for (const required of requirements) {
          const expectedVariables = new Map(Object.entries(required.variables));
          const options = {
            variables: expectedVariables,
            prepared: required.prepared,
          };
          const commandCount = countCommands(context, options);
          const commands = applyContext(context, options);
          expect(commands.length).toBe(commandCount);
          for (const command of commands) {
            if (command.kind === "reset") {
              appliedVariables.clear();
              shapes.clear();
            } else if (command.kind === "set") {
              appliedVariables.set(command.name, command.value);
            } else if (command.kind === "prepare") {
              shapes.set(command.name, command.prepared.shape);
            }
          }
          expect(appliedVariables).toEqual(expectedVariables);
          if (required.prepared) {
            const { access, shape } = required.prepared;
            const name = context.preparedNames.get(`${access} ${shape}`)!;
            expect(shapes.get(name)).toBe(shape);
          }
        }
      },
    ),
    { seed: 11, numRuns: 300 },
  );
});

test("a successor holds every acknowledged commit, or there is none", () => {
  // Every log is a prefix of the primary's log. A commit is acknowledged once
  // the primary and one replica hold it.
  const scenario = fc.record({
    lengths: fc.tuple(
      fc.integer({ min: 0, max: 6 }),
      fc.integer({ min: 0, max: 6 }),
    ),
    unacknowledged: fc.integer({ min: 0, max: 3 }),
    fenced: fc.subarray([0, 1, 2]),
    draining: fc.subarray([0, 1, 2]),
    mayKeep: fc.boolean(),
  });
  fc.assert(
    fc.property(scenario, ({ lengths, fenced, draining, ...rest }) => {
      const acknowledged = Math.max(...lengths);
      const logs = [acknowledged + rest.unacknowledged, ...lengths];
      const report = (index: number): ReportedTarget => ({
        target: {
          id: `t${index}`,
          isDraining: draining.includes(index),
        } as unknown as TargetRecord,
        report: {
          role: "replica",
          term: 1,
          position: createPosition(1, logs[index]!),
          pausedTerm: 2,
          lagMs: 0,
          busy: 0,
          connections: 0,
        },
      });
      const successor = tryChooseSuccessor(fenced.map(report), {
        copies: 3,
        syncReplicas: 1,
        oldPrimary: asId("t0"),
        mayKeepOldPrimary: rest.mayKeep,
      });
      if (
        fenced.length < getRequiredFencedCount({ copies: 3, syncReplicas: 1 })
      ) {
        expect(successor).toBeUndefined();
      } else if (successor) {
        expect(successor.report.position.pos)
          .toBeGreaterThanOrEqual(acknowledged);
      }
    }),
    { seed: 3, numRuns: 1_000 },
  );
});

test("each further failure ejects a target for longer", () => {
  const health = createHealth();
  const target = asId<TargetRecord["id"]>("t");
  const getEjectedMs = () => {
    health.recordFailure(target);
    let ms = 0;
    while (health.isEjected(target)) {
      vi.advanceTimersByTime(50);
      ms += 50;
    }
    return ms;
  };
  expect([getEjectedMs(), getEjectedMs(), getEjectedMs(), getEjectedMs()])
    .toEqual([300, 600, 1_200, 2_400]);
  expect(health.getFailingMs(target)).toBe(4_500);
  health.recordSuccess(target, { latencyMs: 5, position: undefined });
  expect(health.getFailingMs(target)).toBe(0);
  expect(getEjectedMs()).toBe(300);
});

test("a peer lends at most as many tokens as it was asked for", async () => {
  const sent: PoolPeerMessage[] = [];
  const exchange = createTokenExchange({
    peers: {
      setAddresses() {},
      send: (_to, msg) => void sent.push(msg),
      onIntroduction() {},
      onMessage() {},
    },
    metrics: createMetrics(),
    random: () => 0.5,
  }, {
    listPeers: () => [asId("h1")],
    getShare: () => 1,
    lend: () => 0,
  });
  const workspace = asId<WorkspaceId>("w1");
  const borrowed = exchange.borrow(workspace, 3);
  exchange.handleLend({ kind: "lend", id: 0, workspace, count: 1e300 });
  expect(await borrowed).toBe(3);
  expect(sent.map(({ kind }) => kind)).toEqual(["borrow"]);
});
