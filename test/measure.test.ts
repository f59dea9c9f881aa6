import { expect, test } from "vitest";
import { Ok } from "ts-results-es";
import { CONFIG_PREFIX, SERVICES_KEY } from "../src/core/object_keys.ts";
import type { HostIo } from "../src/core/types.ts";
import type { ServicesList } from "../src/generated/objects.ts";
import type { Call } from "../tools/measure/callers.ts";
import {
  computeFigures,
  listGaps,
  type RunRecord,
} from "../tools/measure/figures.ts";
import { generateSchedule } from "../tools/measure/schedule.ts";
import { BROKEN_WRAPPERS } from "../tools/measure/broken.ts";
import { buildServices, getDeployment, LAKAZ } from "../tools/workloads.ts";

const OK = { ok: true, result: 1, servedBy: "primary" } as const;
const RATE_LIMITED = {
  ok: false,
  error: "rate_limited",
  run: "not_run",
} as const;

function call(
  sentAt: number,
  overrides: Partial<Call["req"]> & { readonly class?: string } = {},
): Call {
  const { class: requestClass = "order", ...req } = overrides;
  const change = { op: "put", key: "k", value: sentAt } as const;
  return {
    req: {
      id: `r${sentAt}`,
      workspace: "w",
      session: "s",
      sentAt,
      answeredAt: sentAt + 10,
      op: { kind: "write", change, unrepeatable: true },
      answer: OK,
      ...req,
    },
    class: requestClass,
    latencyMs: 10,
  };
}

function run(
  calls: readonly Call[],
  overrides: Partial<RunRecord> = {},
): RunRecord {
  const status = {
    target: "t",
    term: 1,
    role: "primary",
    logEnd: { term: 1, pos: 0 },
  } as const;
  const statements = [
    { kind: "write", workspace: "w", key: "k", ranAt: 0 },
  ] as const;
  const target = { status, log: [], discarded: [], statements, keyHits: 0 };
  return {
    calls,
    failovers: [],
    groups: [{ group: "g", targets: [target] }],
    plans: new Map([["w", { ratePerSecond: 10, burst: 2 }]]),
    flooder: "flooder",
    ...overrides,
  };
}

test("a seed gives the same schedule again, with at least five failovers in 20 s", () => {
  const options = {
    seed: 7,
    durationMs: 20_000,
    groups: 3,
    hosts: 6,
    primaryFaults: ["down", "cut"],
  } as const;
  const schedule = generateSchedule(options);
  expect(generateSchedule(options)).toEqual(schedule);
  const groups = schedule.flatMap((fault) =>
    fault.kind === "primary" ? [fault.group] : []
  );
  expect(groups.length).toBeGreaterThanOrEqual(5);
  expect(new Set(groups)).toEqual(new Set([0, 1, 2]));
});

test("a gap runs between answered writes of the most frequent class", () => {
  const calls = [
    ...[0, 100, 200, 2_300, 2_400].map((sentAt) => call(sentAt)),
    call(1_000, { class: "payment" }),
    call(1_500, { answer: RATE_LIMITED }),
  ];
  const failovers = [{ group: "g", fault: "cut", injectedAt: 250 }] as const;
  expect(listGaps(run(calls, { failovers: [...failovers] })))
    .toEqual([{ group: "g", fault: "cut", ms: 2_100 }]);
});

test("only a refusal within rate and burst counts as wrongful", () => {
  const withinRate = [call(1_000), call(1_001, { answer: RATE_LIMITED })];
  const beyondRate = [
    call(1_002),
    call(1_003, { answer: RATE_LIMITED }),
    call(1_004, { answer: RATE_LIMITED }),
  ];
  const { refusedWithinRateShare } = computeFigures(
    run([...withinRate, ...beyondRate]),
  );
  // The refused request used up the second and last token of the burst.
  expect(refusedWithinRateShare).toBeCloseTo(1 / 2);
});

test("an unused rate-limit token makes only one refusal wrongful", () => {
  const refused = [1_000, 1_001, 1_002, 1_003]
    .map((at) => call(at, { answer: RATE_LIMITED }));
  const { refusedWithinRateShare } = computeFigures(run(refused));
  expect(refusedWithinRateShare).toBe(1);
  const oneServed = computeFigures(run([call(999), ...refused]));
  expect(oneServed.refusedWithinRateShare).toBeCloseTo(1 / 2);
});

test("the worst-served workspace is not the flooding one", () => {
  const calls = [
    call(1),
    call(2),
    call(3, { workspace: "small" }),
    call(4, { workspace: "small", answer: RATE_LIMITED }),
    call(5, { workspace: "flooder", answer: RATE_LIMITED }),
  ];
  expect(computeFigures(run(calls)).worstWorkspaceServedShare).toBe(0.5);
});

// A misspelt name was measured as one of the known deployments.
test("an unknown deployment is refused", () => {
  expect(getDeployment("madhuvan").name).toBe("madhuvan");
  for (const name of ["lakaz2", "Madhuvan", ""]) {
    expect(() => getDeployment(name)).toThrow(
      `unknown deployment "${name}"; expected one of lakaz, madhuvan`,
    );
  }
});

// Only the first list was raised; after a change the hosts kept the real rates.
test("a host of the broken policy raises rates in all that it reads", async () => {
  const object = { key: SERVICES_KEY, version: 1, value: buildServices(LAKAZ) };
  const read = () => Promise.resolve(Ok({ revision: 1, objects: [object] }));
  const wrap = BROKEN_WRAPPERS.overRate();
  const { platform } = wrap(
    { platform: { list: read, watch: read } } as unknown as HostIo,
  );
  const results = [
    await platform.list(CONFIG_PREFIX),
    await platform.watch(CONFIG_PREFIX, { after: 0, waitMs: 0 }),
  ];
  const rate = buildServices(LAKAZ).plans[0]!.ratePerSecond;
  for (const res of results) {
    const { plans } = res.unwrap().objects[0]!.value as ServicesList;
    expect(plans[0]!.ratePerSecond).toBeGreaterThan(rate);
  }
});
