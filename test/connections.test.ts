import { Err, Ok } from "ts-results-es";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { nowMs, sleep } from "../src/core/clock.ts";
import {
  createConnections,
  MAINTENANCE_INTERVAL_MS,
} from "../src/core/connections.ts";
import { asId, type DomainId, type TargetId } from "../src/core/ids.ts";
import type { HostIo, TargetConn, TargetInfo } from "../src/core/types.ts";

const INFO: TargetInfo = {
  target: asId<TargetId>("t1"),
  domain: asId<DomainId>("d1"),
  url: "local",
  maxConnections: 4,
};
const CONNECT_MS = 30;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Creates a target whose connection limit is shared by several hosts. */
function createTarget() {
  const state = { openCount: 0, connectCount: 0 };
  const io = {
    targets: {
      async connect() {
        if (state.openCount >= INFO.maxConnections) {
          return Err({ kind: "connection_refused", sent: false });
        }
        state.openCount++;
        state.connectCount++;
        await sleep(CONNECT_MS);
        let isOpen = true;
        return Ok({
          target: INFO.target,
          isOpen: () => isOpen,
          close() {
            state.openCount -= isOpen ? 1 : 0;
            isOpen = false;
          },
        });
      },
    },
  } as unknown as HostIo;
  return { state, io };
}

async function acquire(
  connections: ReturnType<typeof createConnections>,
): Promise<{ conn: TargetConn | undefined; tookMs: number }> {
  const startedAt = nowMs();
  const deadline = startedAt + 1_000;
  const res = await connections.acquire(INFO, { deadline });
  return { conn: res.unwrapOr(undefined), tookMs: nowMs() - startedAt };
}

test("a host never opens more connections than its share", async () => {
  const { state, io } = createTarget();
  const connections = createConnections(io, {
    maxPerTarget: 2,
    warmPerTarget: 0,
  });
  const acquiring = Array.from({ length: 6 }, () => acquire(connections));
  acquiring.forEach((pending) =>
    void pending.then(async ({ conn }) => {
      await sleep(20);
      connections.release(conn!, { clean: true });
    })
  );
  await vi.advanceTimersByTimeAsync(500);
  const acquired = await Promise.all(acquiring);
  expect(acquired.every(({ conn }) => conn !== undefined)).toBe(true);
  expect(state.connectCount).toBe(2);
  connections.stop();
});

test("a refused connection is retried until the deadline", async () => {
  const { state, io } = createTarget();
  const otherConnections = createConnections(io, {
    maxPerTarget: 4,
    warmPerTarget: 4,
  });
  otherConnections.keepWarm([INFO]);
  await vi.advanceTimersByTimeAsync(200);
  expect(state.openCount).toBe(4);
  const connections = createConnections(io, {
    maxPerTarget: 2,
    warmPerTarget: 0,
  });
  const pending = acquire(connections);
  await vi.advanceTimersByTimeAsync(100);
  otherConnections.stop();
  await vi.advanceTimersByTimeAsync(200);
  expect((await pending).conn).toBeDefined();
  connections.stop();
});

test("a warm connection is available without delay", async () => {
  const { io } = createTarget();
  const connections = createConnections(io, {
    maxPerTarget: 2,
    warmPerTarget: 1,
  });
  connections.keepWarm([INFO]);
  await vi.advanceTimersByTimeAsync(100);
  expect((await acquire(connections)).tookMs).toBe(0);
  connections.stop();
});

test("a connection of unknown state is not reused", async () => {
  const { io } = createTarget();
  const connections = createConnections(io, {
    maxPerTarget: 2,
    warmPerTarget: 1,
  });
  connections.keepWarm([INFO]);
  await vi.advanceTimersByTimeAsync(100);
  const first = await acquire(connections);
  connections.release(first.conn!, { clean: false });
  const second = acquire(connections);
  await vi.advanceTimersByTimeAsync(100);
  expect((await second).conn).not.toBe(first.conn);
  expect(first.conn!.isOpen()).toBe(false);
  connections.stop();
});

test("connections are closed when no requests arrive", async () => {
  const { state, io } = createTarget();
  const connections = createConnections(io, {
    maxPerTarget: 2,
    warmPerTarget: 2,
  });
  connections.keepWarm([INFO]);
  await vi.advanceTimersByTimeAsync(11_000);
  expect(state.openCount).toBe(0);
  connections.stop();
});

/** Creates a target to which every connection attempt fails after a time. */
function createLostTarget(): HostIo {
  return {
    targets: {
      async connect() {
        await sleep(CONNECT_MS);
        return Err({ kind: "unreachable", sent: false });
      },
    },
  } as unknown as HostIo;
}

// Only as many requests as attempts were answered; the others waited until
// their deadline although nothing was being opened for them.
test.each([
  ["attempts for waiting requests", 0],
  ["attempts to open warm connections", 2],
])(
  "every waiting request learns of failed %s",
  async (_name, warmPerTarget) => {
    const connections = createConnections(createLostTarget(), {
      maxPerTarget: 2,
      warmPerTarget,
    });
    connections.keepWarm([INFO]);
    const deadline = nowMs() + 10_000;
    const errors: string[] = [];
    for (let n = 0; n < 6; n++) {
      void connections.acquire(INFO, { deadline })
        .then((res) => res.isErr() && errors.push(res.error.kind));
    }
    await vi.advanceTimersByTimeAsync(6 * CONNECT_MS);
    expect(errors).toEqual(Array.from({ length: 6 }, () => "unreachable"));
    connections.stop();
  },
);

// The refusal of a warm connection started no retry for the request that
// waited for that connection.
test("a request that waits for a refused warm connection is retried", async () => {
  const { state, io } = createTarget();
  state.openCount = INFO.maxConnections;
  const lateRefusal = {
    targets: {
      async connect(info: TargetInfo) {
        await sleep(CONNECT_MS);
        return await io.targets.connect(info);
      },
    },
  } as unknown as HostIo;
  const connections = createConnections(lateRefusal, {
    maxPerTarget: 1,
    warmPerTarget: 1,
  });
  connections.keepWarm([INFO]);
  const pending = acquire(connections);
  await vi.advanceTimersByTimeAsync(CONNECT_MS);
  state.openCount = 0;
  await vi.advanceTimersByTimeAsync(1_000);
  const { conn, tookMs } = await pending;
  expect(conn).toBeDefined();
  expect(tookMs).toBeLessThan(MAINTENANCE_INTERVAL_MS);
  connections.stop();
});
