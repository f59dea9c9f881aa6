/**
 * Simulates the dissemination of a configuration change to a large fleet within
 * the control traffic budget while hosts fail. Prints a table; the result is
 * deterministic for the fixed seeds.
 */

import Table from "cli-table3";
import { pack } from "msgpackr";
import { mersenne } from "pure-rand/generator/mersenne";
import { asId, type HostId } from "../../src/core/ids.ts";
import { listNeighbours } from "../../src/core/neighbours.ts";

const HOST_COUNT = 3_200;
const DOMAIN_COUNT = 17;
const SEEDS = [1, 2, 3, 4, 5];
const BUDGET_BYTES_PER_S = 18_000;
const DEADLINE_S = 13;
const SIMULATION_LIMIT_S = 60;
const STEP_S = 0.05;
/** Timeout of a pull from a failed host. */
const PULL_TIMEOUT_S = 0.4;
/** Hosts fail at random times between 0 and this time. */
const LATEST_FAILURE_S = 5;
const UINT32_RANGE = 2 ** 32;

type PullScheme = "watcher of the domain" | "neighbours";
type FailureMode = "none" | "1 in 100 hosts" | "a failure domain";

interface Node {
  readonly index: number;
  readonly sources: readonly number[];
  readonly failsAtS: number;
  /** Time at which the host received the change; infinite before that. */
  receivedAtS: number;
  /** Number of transfers from the platform to this host. */
  depth: number;
  sendingUntilS: number;
  nextPullAtS: number;
  pull: { readonly from: number; readonly endsAtS: number } | undefined;
}

interface SimulationOptions {
  readonly scheme: PullScheme;
  readonly failureMode: FailureMode;
  readonly changeBytes: number;
  readonly seed: number;
}

interface SimulationResult {
  readonly convergenceS: number;
  readonly rounds: number;
  readonly outdatedHosts: number;
}

const HOST_IDS = Array.from(
  { length: HOST_COUNT },
  (_, i) => asId<HostId>(`h${i + 1}`),
);

/** Indexes of the neighbours of each host, by the index of the host. */
const NEIGHBOURS = HOST_IDS.map((id) =>
  listNeighbours(id, HOST_IDS).map((host) => Number(host.slice(1)) - 1)
);

/**
 * Returns the bytes per second of the budget that remain for changes after the
 * heartbeats to and from all neighbours.
 */
function getChangeBudget(): number {
  const heartbeat = pack({
    kind: "heartbeat",
    host: HOST_IDS.at(-1),
    domain: "domain-17",
    incarnation: "0123456789a",
    seq: 1_800_000_000_000,
    leaving: false,
    revision: 1_000_000,
    versions: [],
  });
  const count = Math.max(...NEIGHBOURS.map((list) => list.length));
  return BUDGET_BYTES_PER_S - 2 * count * heartbeat.length;
}

function createNodes(options: SimulationOptions, random: () => number): Node[] {
  const lostDomain = Math.floor(random() * DOMAIN_COUNT);
  return HOST_IDS.map((_, index) => {
    const isFailing = options.failureMode === "a failure domain"
      ? index % DOMAIN_COUNT === lostDomain
      : options.failureMode === "1 in 100 hosts" && random() < 0.01;
    const isWatcher = index < DOMAIN_COUNT;
    return {
      index,
      sources: options.scheme === "neighbours"
        ? NEIGHBOURS[index]!
        : [index % DOMAIN_COUNT],
      failsAtS: isFailing ? random() * LATEST_FAILURE_S : Infinity,
      receivedAtS: isWatcher ? 0 : Infinity,
      depth: isWatcher ? 1 : Infinity,
      sendingUntilS: 0,
      nextPullAtS: 0,
      pull: undefined,
    };
  });
}

/**
 * Completes a transfer that has ended, or aborts it when the sender has failed;
 * the host may then pull again after the timeout.
 */
function finishPull(nodes: readonly Node[], node: Node, nowS: number): void {
  const { pull } = node;
  const sender = pull && nodes[pull.from]!;
  if (!pull || !sender) {
    return;
  }
  if (sender.failsAtS <= Math.min(nowS, pull.endsAtS)) {
    node.pull = undefined;
    node.nextPullAtS = nowS + PULL_TIMEOUT_S;
  } else if (pull.endsAtS <= nowS) {
    node.receivedAtS = nowS;
    node.depth = sender.depth + 1;
    node.pull = undefined;
  }
}

/**
 * Starts a pull from a random source that has the change and is not sending to
 * another host.
 */
function startPull(
  nodes: readonly Node[],
  node: Node,
  options: {
    readonly nowS: number;
    readonly transferS: number;
    random(): number;
  },
): void {
  const { nowS, transferS, random } = options;
  const availableSources = node.sources.filter((index) => {
    const source = nodes[index]!;
    return source.receivedAtS < nowS && source.failsAtS > nowS &&
      source.sendingUntilS <= nowS;
  });
  const from = availableSources[Math.floor(random() * availableSources.length)];
  if (from !== undefined) {
    const endsAtS = nowS + Math.max(transferS, STEP_S);
    node.pull = { from, endsAtS };
    nodes[from]!.sendingUntilS = endsAtS;
  }
}

function simulate(
  options: SimulationOptions,
  bytesPerS: number,
): SimulationResult {
  const generator = mersenne(options.seed);
  const random = () => (generator.next() >>> 0) / UINT32_RANGE;
  const nodes = createNodes(options, random);
  const transferS = options.changeBytes / bytesPerS;
  let nowS = 0;
  const isOutdated = (node: Node) =>
    node.receivedAtS === Infinity && node.failsAtS > nowS;
  while (nowS < SIMULATION_LIMIT_S && nodes.some(isOutdated)) {
    nowS += STEP_S;
    for (const node of nodes.filter(isOutdated)) {
      finishPull(nodes, node, nowS);
      if (
        !node.pull && node.receivedAtS === Infinity && node.nextPullAtS <= nowS
      ) {
        startPull(nodes, node, { nowS, transferS, random });
      }
    }
  }
  const updatedNodes = nodes.filter((node) => node.receivedAtS < Infinity);
  return {
    convergenceS: nowS,
    rounds: Math.max(...updatedNodes.map((node) => node.depth)) - 1,
    outdatedHosts: nodes.filter(isOutdated).length,
  };
}

function main(): void {
  const bytesPerS = getChangeBudget();
  // Each round at most doubles the number of hosts that have the change.
  const minRounds = Math.ceil(Math.log2(HOST_COUNT / DOMAIN_COUNT));
  console.log(
    `${HOST_COUNT} hosts, ${DOMAIN_COUNT} watchers, ${bytesPerS} of ` +
      `${BUDGET_BYTES_PER_S} bytes/s left by heartbeats; ` +
      `ceil(log2 ${HOST_COUNT}) = ${
        Math.ceil(Math.log2(HOST_COUNT))
      } rounds from one ` +
      `host, ${minRounds} from ${DOMAIN_COUNT}`,
  );
  const table = new Table({
    head: [
      ..."pulled from,lost,bytes,worst s,rounds,bound,bound s,missed,in time"
        .split(","),
    ],
    style: { head: [], border: [] },
  });
  for (const scheme of ["watcher of the domain", "neighbours"] as const) {
    for (
      const failureMode of [
        "none",
        "1 in 100 hosts",
        "a failure domain",
      ] as const
    ) {
      for (const changeBytes of [300, 4_000, 16_000]) {
        const outcomes = SEEDS.map((seed) =>
          simulate(
            { scheme, failureMode, changeBytes, seed },
            bytesPerS,
          )
        );
        const worstS = Math.max(...outcomes.map((o) => o.convergenceS));
        const outdatedHosts = Math.max(...outcomes.map((o) => o.outdatedHosts));
        table.push([
          scheme,
          failureMode,
          changeBytes,
          worstS.toFixed(2),
          Math.max(...outcomes.map((o) => o.rounds)),
          minRounds,
          (minRounds * changeBytes / bytesPerS).toFixed(2),
          outdatedHosts,
          worstS <= DEADLINE_S && outdatedHosts === 0 ? "yes" : "no",
        ]);
      }
    }
  }
  console.log(table.toString());
}

main();
