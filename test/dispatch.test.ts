import { Err, Ok, type Result } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import { type Checkout, createDispatcher } from "../src/pooling/dispatch.ts";
import { createHealth } from "../src/pooling/health.ts";
import type {
  DialErr,
  PoolIo,
  TargetLink,
  TargetRecord,
} from "../src/pooling/types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const TARGET = {
  id: "t1",
  service: "ledger",
  domain: "d1",
  address: "127.0.0.1:1",
  incarnation: 7,
} as unknown as TargetRecord;
const WORKSPACE = asId<WorkspaceId>("w1");
const MAX_WAIT_MS = 500;

type Dialed = Result<TargetLink, DialErr>;

/** A dispatcher whose dials the test settles one by one. */
function createTestDispatcher() {
  const dials: {
    settle(dialed: Dialed): void;
    readonly target: TargetRecord;
  }[] = [];
  const dispatcher = createDispatcher({
    dialer: {
      dial: (target: TargetRecord) =>
        new Promise<Dialed>((settle) => dials.push({ settle, target })),
    },
    log: { info() {}, request() {} },
    metrics: { count() {}, add() {}, observe() {}, set() {} },
    random: () => 0.5,
  } as unknown as PoolIo, {
    health: createHealth(),
    getDefaultWorkspace: () => WORKSPACE,
  });

  /** Requests a connection; the returned list gets the kind of the result. */
  function acquire(target = TARGET, checkouts: Checkout[] = []): string[] {
    const results: string[] = [];
    void dispatcher.acquire({
      service: target.service,
      workspace: WORKSPACE,
      priority: 1,
      deadline: performance.now() + MAX_WAIT_MS,
      listCandidates: () => [target],
    }).then((acquired) => {
      results.push(acquired.isOk() ? "connection" : acquired.error.error);
      acquired.map((checkout) => checkouts.push(checkout));
    });
    return results;
  }
  return { dispatcher, dials, acquire };
}

function createTestLink(): TargetLink {
  let isOpen = true;
  return {
    target: TARGET,
    workspace: WORKSPACE,
    isOpen: () => isOpen,
    send: () => new Promise(() => {}),
    close: () => void (isOpen = false),
  };
}

const runDueTasks = () => vi.advanceTimersByTimeAsync(0);

// A host that stopped left requests in a dial without an answer, or gave them
// the connection afterwards.
test("closing a dispatcher refuses a request whose connection is being opened", async () => {
  const { dispatcher, dials, acquire } = createTestDispatcher();
  const results = acquire();
  dispatcher.close();
  await runDueTasks();
  expect(results).toEqual(["stopping"]);
  const link = createTestLink();
  dials[0]!.settle(Ok(link));
  await runDueTasks();
  expect(link.isOpen()).toBe(false);
  expect(results).toEqual(["stopping"]);
});

// A request in the pause after a failed dial opened a connection after the
// close, as no list knew of it.
test("closing a dispatcher refuses a request that waits to dial again", async () => {
  const { dispatcher, dials, acquire } = createTestDispatcher();
  const results = acquire();
  dials[0]!.settle(Err({ code: "unreachable", detail: "refused" }));
  await runDueTasks();
  dispatcher.close();
  await runDueTasks();
  expect(results).toEqual(["stopping"]);
  await vi.advanceTimersByTimeAsync(MAX_WAIT_MS);
  expect(dials).toHaveLength(1);
});

test("closing a dispatcher refuses a request in the queue", async () => {
  const { dispatcher, acquire } = createTestDispatcher();
  const results = [acquire(), acquire()];
  dispatcher.close();
  await runDueTasks();
  expect(results).toEqual([["stopping"], ["stopping"]]);
});

// A statement that was to be repeated at another target dialed after the
// close and kept the connection.
test("a closed dispatcher refuses a new request at once and dials nothing", async () => {
  const { dispatcher, dials, acquire } = createTestDispatcher();
  dispatcher.close();
  const results = acquire();
  await runDueTasks();
  expect(results).toEqual(["stopping"]);
  expect(dials).toHaveLength(0);
});

// The connections of a target that registered again came on top of those at
// work from before.
test("a target that registers again has no more connections than its cap", async () => {
  const { dispatcher, dials, acquire } = createTestDispatcher();
  const checkouts: Checkout[] = [];
  acquire(TARGET, checkouts);
  dials[0]!.settle(Ok(createTestLink()));
  await runDueTasks();
  dispatcher.removeTarget(TARGET.id);
  const results = acquire({ ...TARGET });
  await runDueTasks();
  expect(dials).toHaveLength(1);
  checkouts[0]!.release(true);
  await runDueTasks();
  expect(results).toEqual(["connection"]);
  expect(dials).toHaveLength(1);
});

test("a closed dispatcher closes the connections of a removed target too", async () => {
  const { dispatcher, dials, acquire } = createTestDispatcher();
  acquire();
  const link = createTestLink();
  dials[0]!.settle(Ok(link));
  await runDueTasks();
  dispatcher.removeTarget(TARGET.id);
  expect(link.isOpen()).toBe(true);
  dispatcher.close();
  expect(link.isOpen()).toBe(false);
});
