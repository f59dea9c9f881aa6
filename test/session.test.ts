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
  const answer = await settle(fleet.open(host).request(frame));
  getResult(answer);
  return answer.token;
}

async function read(host: string, token?: string): Promise<Answer> {
  const session = fleet.open(host, token ? { token } : {});
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
    const during = await read("h2", hasToken ? token : undefined);
    expect(getResult(during)).toBe("placed");
    const later = await write("h2", "paid");
    group.targets[0]!.faults = {};
    for (const host of ["h1", "h2", "h3"]) {
      const answer = await read(host, hasToken ? later : undefined);
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

describe("a token", () => {
  test.each([
    ["position", { term: 1, pos: 1_000_000 }],
    ["term", { term: 9, pos: 1 }],
  ])("with a %s that the group never had is refused", async (_name, at) => {
    await write("h1", "placed");
    const startedAt = Date.now();
    expect(await read("h2", forgeToken(at))).toMatchObject({
      failure: { error: "token_invalid" },
    });
    expect(Date.now() - startedAt).toBeLessThan(500);
  });

  test("is not refused while the primary that holds it is lost", async () => {
    const [old, behind, frozen] = group.targets;
    await write("h1", "placed");
    old!.faults = { cutFrom: [getTargetId(behind!), getTargetId(frozen!)] };
    frozen!.faults = { frozen: true };
    const unanswered = createPutFrame("order", "tail", { timeoutMs: 300 });
    await settle(fleet.open("h1").request(unanswered));
    // The read floor of this token is stored on the primary only.
    const { token } = await read("h1");
    old!.faults = { cutFrom: ["*"] };
    frozen!.faults = {};
    expect(getResult(await read("h2", token))).toBe("placed");
    expect(group.getPrimary()).not.toBe(old);
  });

  test("from before several failovers still reads", async () => {
    const oldToken = await write("h1", "placed");
    for (const value of ["paid", "ready"]) {
      const lost = group.getPrimary();
      lost.faults = { cutFrom: ["*"] };
      await write("h2", value);
      lost.faults = {};
      await vi.advanceTimersByTimeAsync(2_000);
    }
    expect(group.getTerm()).toBeGreaterThan(2);
    expect(getResult(await read("h3", oldToken))).toBe("ready");
  });

  test("of another workspace or no token at all is refused", async () => {
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
