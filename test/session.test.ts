import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { asId, type WorkspaceId } from "../src/core/ids.ts";
import { SERVICES_KEY } from "../src/core/object_keys.ts";
import { encodeToken } from "../src/core/session.ts";
import type { Answer, Position } from "../src/core/types.ts";
import { buildServices } from "../tools/workloads.ts";
import {
  createGetFrame,
  createPutFrame,
  getResult,
  settle,
  startTestFleet,
  type TestFleet,
} from "./fleet.ts";
import { getTargetId, getTestGroup, type TestGroup } from "./group.ts";

let fleet: TestFleet;
let group: TestGroup;

beforeEach(async () => {
  vi.useFakeTimers();
  fleet = await startTestFleet();
  group = getTestGroup(fleet);
});

afterEach(() => {
  fleet.stop();
  vi.useRealTimers();
});

async function write(host: string, value: string): Promise<string> {
  const frame = createPutFrame("order", value, { timeoutMs: 9_000 });
  const answer = await settle(fleet.openSession(host).request(frame));
  getResult(answer);
  return answer.token;
}

async function read(host: string, token?: string): Promise<Answer> {
  const session = fleet.openSession(host, token ? { token } : {});
  return await settle(session.request(createGetFrame("order")));
}

/** Builds a session token that no host has issued. */
function forgeToken(position: Position): string {
  return encodeToken({
    id: "forged",
    workspace: fleet.deployment.workspaces[0]!.workspace,
    floors: new Map([[group.info.group, position]]),
  });
}

describe("a session reads its writes", () => {
  test.each([
    ["with its token", true],
    ["without a token", false],
  ])("on every host while replicas lag, %s", async (_name, hasToken) => {
    group.targets[1]!.faults = { lagMs: 8_000 };
    for (const value of ["placed", "paid", "ready"]) {
      const token = await write("h1", value);
      for (const host of ["h1", "h2", "h3"]) {
        const answer = await read(host, hasToken ? token : undefined);
        expect(getResult(answer)).toBe(value);
      }
    }
  });

  test.each([
    ["with its token", true],
    ["without a token", false],
  ])("across a change of primary, %s", async (_name, hasToken) => {
    const token = await write("h1", "placed");
    group.targets[0]!.faults = { cutFrom: ["*"] };
    const duringFailover = await read("h2", hasToken ? token : undefined);
    expect(getResult(duringFailover)).toBe("placed");
    const laterToken = await write("h2", "paid");
    group.targets[0]!.faults = {};
    for (const host of ["h1", "h2", "h3"]) {
      const answer = await read(host, hasToken ? laterToken : undefined);
      expect(getResult(answer)).toBe("paid");
    }
  });

  test("on replicas that have caught up", async () => {
    let replicas = 0;
    for (let n = 0; n < 20; n++) {
      const token = await write("h1", `${n}`);
      await vi.advanceTimersByTimeAsync(300);
      const answer = await read("h2", token);
      expect(getResult(answer)).toBe(`${n}`);
      const isReplica = answer.kind === "done" &&
        answer.servedBy === "replica";
      replicas += isReplica ? 1 : 0;
    }
    expect(replicas).toBe(20);
  });
});

describe("a session token", () => {
  test.each([
    ["position", { term: 1, pos: 1_000_000 }],
    ["term", { term: 9, pos: 1 }],
  ])("with a %s that the group never had is refused", async (_name, floor) => {
    await write("h1", "placed");
    const startedAt = Date.now();
    expect(await read("h2", forgeToken(floor))).toMatchObject({
      failure: { error: "token_invalid" },
    });
    expect(Date.now() - startedAt).toBeLessThan(500);
  });

  test("is not refused when only the lost primary has reached its position", async () => {
    const [oldPrimary, replica, frozenReplica] = group.targets;
    await write("h1", "placed");
    oldPrimary!.faults = {
      cutFrom: [getTargetId(replica!), getTargetId(frozenReplica!)],
    };
    frozenReplica!.faults = { frozen: true };
    const tailWrite = createPutFrame("order", "tail", { timeoutMs: 300 });
    await settle(fleet.openSession("h1").request(tailWrite));
    // Only the primary's log reaches the read floor of this token.
    const { token } = await read("h1");
    oldPrimary!.faults = { cutFrom: ["*"] };
    frozenReplica!.faults = {};
    expect(getResult(await read("h2", token))).toBe("placed");
    expect(group.getPrimary()).not.toBe(oldPrimary);
  });

  test("from before several failovers still reads", async () => {
    const oldToken = await write("h1", "placed");
    for (const value of ["paid", "ready"]) {
      const lostPrimary = group.getPrimary();
      lostPrimary.faults = { cutFrom: ["*"] };
      await write("h2", value);
      lostPrimary.faults = {};
      await vi.advanceTimersByTimeAsync(2_000);
    }
    expect(group.getTerm()).toBeGreaterThan(2);
    expect(getResult(await read("h3", oldToken))).toBe("ready");
  });

  test("of another workspace or a malformed one is refused", async () => {
    const token = await write("h1", "placed");
    const key = fleet.keys.get(asId<WorkspaceId>("archive"))!;
    for (const wrong of [token, "", "AAAA", `${token}x`.repeat(9)]) {
      const opened = fleet.getHost("h1").host.entry
        .open({ kind: "hello", key, token: wrong || "\u0000" });
      expect(opened.isErr() && opened.error.error).toBe("token_invalid");
    }
  });
});

test("a bounded-staleness read keeps its bound", async () => {
  const services = buildServices(fleet.deployment);
  const plans = services.plans.map((plan) => ({
    ...plan,
    services: plan.services.map((service) => ({
      ...service,
      staleReads: [{ class: "status_lookup", maxStaleMs: 2_000 }],
    })),
  }));
  fleet.platform.put(SERVICES_KEY, { ...services, plans }, { ifVersion: 1 });
  await vi.advanceTimersByTimeAsync(1_000);
  group.targets[1]!.faults = { lagMs: 20_000 };
  await vi.advanceTimersByTimeAsync(1_000);
  await write("h1", "placed");
  const readAll = async () => {
    const values = [];
    for (let n = 0; n < 12; n++) {
      values.push(getResult(await read("h2")));
    }
    return new Set(values);
  };
  expect(await readAll()).toEqual(new Set(["placed", null]));
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await readAll()).toEqual(new Set(["placed"]));
});
