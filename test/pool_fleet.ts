/** Pool hosts in one process, with stand-ins and fake timers, for tests. */

import { Err } from "ts-results-es";
import { asId, type HostId, type ObjectKey } from "../src/core/ids.ts";
import { sleep } from "../src/core/clock.ts";
import type { EraCalls } from "../src/core/store_era.ts";
import type { StoredObject } from "../src/core/types.ts";
import type { ColdLimit } from "../src/pooling/cold_targets.ts";
import { createPooler, type Pooler } from "../src/pooling/pooler.ts";
import type { Session } from "../src/pooling/session.ts";
import type {
  Catalog,
  ColdPolicy,
  Consistency,
  LogFields,
  PeerReceiver,
  PoolPeers,
  Statement,
  StatementAnswer,
  TargetCommand,
  TargetLink,
  TargetRecord,
  TargetReply,
} from "../src/pooling/types.ts";
import type { PoolPeerMessage } from "../src/generated/pool_peer.ts";
import {
  EVACUATION_KIND,
  tryDecodeEvacuation,
} from "../platform/decode_evacuation.ts";
import { createTargetDialer } from "../platform/target_link.ts";
import { tryDecodeStatement } from "../platform/line_codec.ts";
import {
  createPlatformCore,
  type PlatformCopy,
  type PlatformCore,
} from "../standins/platform_core.ts";
import { createMemoryNetwork, type MemoryNetwork } from "./memory_streams.ts";
import {
  createEraCalls,
  isExternalKey,
  type WatchFaults,
} from "./era_calls.ts";
import {
  createStatementGroup,
  type GroupOptions,
  type StatementGroup,
  type StatementTarget,
} from "../standins/statement_group.ts";
import { vi } from "vitest";

const SERVICE = asId<TargetRecord["service"]>("ledger");
const CATALOG_KEY = asId<ObjectKey>("catalog/main");

/** Options of a pool fleet; one host by default. */
export interface PoolFleetOptions {
  readonly hosts?: number;
  readonly group?: Partial<GroupOptions>;
  readonly ratePerS?: number;
  readonly maxConnections?: number;
  readonly schedulesSlots?: boolean;
  /** Failure domain of each host; `d1` by default, where the targets are. */
  readonly domains?: readonly string[];
  /** Region of each failure domain; none by default. */
  readonly regions?: Readonly<Record<string, string>>;
  readonly workspaces?: readonly string[];
  /** Targets that are not registered at the start. */
  readonly unregistered?: readonly string[];
  /** Time for an evacuation to be in force; no evacuations by default. */
  readonly evacuationInForceMs?: number;
  /** Limit of cold targets; none by default. */
  readonly coldLimit?: ColdLimit;
  readonly cold?: ColdPolicy;
}

/** Line in the log of a host. */
export interface LogLine {
  readonly host: HostId;
  readonly event: string;
  readonly fields: LogFields;
  readonly time: number;
}

/** A promotion order that a host has sent. */
export interface SentOrder {
  readonly target: TargetRecord["id"];
  readonly holder: HostId;
  readonly fencingToken: number;
  readonly time: number;
}

/** Command that a host has sent to a target over its own connection. */
export interface SentCommand {
  readonly host: HostId;
  readonly target: TargetRecord["id"];
  readonly kind: TargetCommand["kind"];
  readonly time: number;
}

/** Faults of datagrams between the hosts. */
export interface PeerFaults {
  isLost: boolean;
  /** Version that all hosts tell instead of theirs. */
  toldVersion: number | undefined;
}

/** Pool hosts with their targets and the store that they share. */
export interface PoolFleet {
  readonly group: StatementGroup;
  readonly poolers: readonly Pooler[];
  readonly store: PlatformCore;
  /** Hosts (`h0`, ...), or `all`, whose calls to the store fail. */
  readonly hostsWithoutStore: Set<string>;
  /** Faults of the store's responses after their execution. */
  readonly storeFaults: {
    /** Delay of the responses to a host (`h0`, ...). */
    getResponseDelayMs(host: string): number;
    /** Whether the response to a host's write of the object is lost. */
    isAnswerLost(host: string, key: ObjectKey): boolean;
    /** Delay of a list of the objects under a prefix; none by default. */
    getListDelayMs(prefix: string): number;
    readonly watches: WatchFaults;
  };
  /** Prefixes that hosts have listed or watched, with the number of calls. */
  readonly readPrefixes: ReadonlyMap<string, number>;
  readonly commands: readonly SentCommand[];
  /** Faults of datagrams between the hosts. */
  readonly peerFaults: PeerFaults;
  /** Returns the store to a copy and writes the external objects again. */
  returnStore(copy: PlatformCopy): void;
  /**
   * Unreachable targets: `<target>` for all hosts, `<host>/<target>` for one
   * host. Targets still reach each other.
   */
  readonly unreachableTargets: Set<string>;
  /**
   * If `minDelayMs` is not 0, promotion orders get no answer and take effect
   * after one to three times that delay.
   */
  readonly delayedPromotions: { minDelayMs: number };
  /** Decides which messages between hosts are lost; none by default. */
  readonly messageFaults: {
    isLost(from: HostId, to: HostId, msg: PoolPeerMessage): boolean;
    /** Time that a message takes, in milliseconds. */
    getDelayMs(from: HostId, to: HostId): number;
  };
  /**
   * Holds all messages and calls to the store of a host for a time, as if its
   * process were stopped; they go on afterwards.
   */
  freezeHost(index: number, ms: number): void;
  readonly orders: readonly SentOrder[];
  /** Counters of all hosts, by name and label values with blanks between. */
  readonly counters: ReadonlyMap<string, number>;
  /** Delay of all replies of targets, and of single targets; 0 for none. */
  readonly targetReplies: {
    delayMs: number;
    readonly delayMsByTarget: Map<string, number>;
  };
  readonly logLines: LogLine[];
  /** Streams between the hosts. */
  readonly network: MemoryNetwork;
  /** Opens a session of a workspace; of the first one by default. */
  openSession(database: string, host?: number, workspace?: string): Session;
  getTarget(id: string): StatementTarget;
  setCatalog(overrides?: Partial<Catalog>): void;
  register(id: string, overrides?: Partial<TargetRecord>): void;
  /** Removes registrations, as the platform does after some silence. */
  deregister(...ids: readonly string[]): void;
  /** Evacuates a failure domain, as the operator does. */
  evacuate(domain: string): void;
  /** Takes the evacuation of a failure domain back. */
  endEvacuation(domain: string): void;
  /** Starts one more host; its index is the next one. */
  startHost(): void;
  /** Hosts whose process runs. */
  listRunning(): readonly Pooler[];
  /** Ends a host's process without a stop. */
  killHost(index: number): void;
  /** Starts a killed host again, under its name. */
  restartHost(index: number): void;
  stop(): void;
}

/** Starts the pool hosts and waits until they are ready. */
export async function startPoolFleet(
  options: PoolFleetOptions = {},
): Promise<PoolFleet> {
  vi.useFakeTimers();
  const store = createPlatformCore({ versionsAreRevisions: true });
  const group = createStatementGroup({
    service: SERVICE,
    ids: ["t1", "t2", "t3"],
    ...options.group,
  });
  const hostsWithoutStore = new Set<string>();
  const unreachableTargets = new Set<string>();
  const targetReplies = {
    delayMs: 0,
    delayMsByTarget: new Map<string, number>(),
  };
  const storeFaults: PoolFleet["storeFaults"] = {
    getResponseDelayMs: () => 0,
    isAnswerLost: () => false,
    getListDelayMs: () => 0,
    watches: { isSilent: false, waiting: new Set() },
  };
  const readPrefixes = new Map<string, number>();
  const commands: SentCommand[] = [];
  const peerFaults: PeerFaults = { isLost: false, toldVersion: undefined };
  const delayedPromotions = { minDelayMs: 0 };
  const messageFaults: PoolFleet["messageFaults"] = {
    isLost: () => false,
    getDelayMs: () => 1,
  };
  const frozenUntil = new Map<string, number>();
  const getFrozenMs = (host: string) =>
    Math.max(0, (frozenUntil.get(host) ?? 0) - Date.now());

  /** Delivers a message once neither host is frozen. */
  function deliver(from: HostId, to: HostId, msg: PoolPeerMessage): void {
    const frozenMs = Math.max(getFrozenMs(from), getFrozenMs(to));
    if (frozenMs > 0) {
      setTimeout(() => deliver(from, to, msg), frozenMs);
    } else {
      receivers.get(to)?.(from, msg);
    }
  }
  const isUnreachable = (host: string, id: string) =>
    unreachableTargets.has(id) || unreachableTargets.has(`${host}/${id}`) ||
    group.targets.find((t) => t.record.id === id)?.faults.isUnresponsive ===
      true;
  const counters = new Map<string, number>();
  const addToCounter = (
    name: string,
    amount: number,
    labels: Readonly<Record<string, string>>,
  ) => {
    const key = [name, ...Object.values(labels)].join(" ");
    counters.set(key, (counters.get(key) ?? 0) + amount);
  };
  const orders: SentOrder[] = [];
  const logLines: LogLine[] = [];
  const createRecorder = (host: HostId) => (event: string, fields: LogFields) =>
    logLines.push({ host, event, fields, time: Date.now() });
  const receivers = new Map<HostId, PeerReceiver>();
  const network = createMemoryNetwork();
  const workspaces = options.workspaces ?? ["w1"];
  let version = 0;
  let seed = 1;
  const random = () => {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
  };

  function put(key: ObjectKey, value: unknown): void {
    store.put(key, value, { ifVersion: store.get(key).version }).unwrap();
  }

  function setCatalog(overrides: Partial<Catalog> = {}): void {
    version += 3;
    const ratePerS = options.ratePerS ?? 1_000;
    put(CATALOG_KEY, {
      version,
      routes: new Map([
        createRoute("orders", { kind: "primary" }),
        createRoute("reports", { kind: "bounded", maxStaleMs: 1_500 }),
        createRoute("accounts", { kind: "session", maxStaleMs: 2_500 }),
      ]),
      services: new Map([[SERVICE, {
        service: SERVICE,
        maxConnections: options.maxConnections ?? 20,
        syncReplicas: 1,
        ...(options.cold ? { cold: options.cold } : {}),
      }]]),
      quotas: new Map(
        workspaces.map((id) => [id, { ratePerS, burst: ratePerS }]),
      ),
      workspaceByKey: new Map(workspaces.map((id) => [toKey(id), id])),
      transactionIdleMs: 3_000,
      ...overrides,
    });
  }

  function register(id: string, overrides: Partial<TargetRecord> = {}): void {
    const { record } = group.targets.find((t) => t.record.id === id)!;
    put(asId<ObjectKey>(`targets/${id}`), { ...record, ...overrides });
  }

  function createStoreCalls(host: string): EraCalls {
    const calls = createEraCalls(store, {
      isUnreachable: () =>
        hostsWithoutStore.has(host) || hostsWithoutStore.has("all"),
      getResponseDelayMs: () => storeFaults.getResponseDelayMs(host),
      getRequestDelayMs: () => getFrozenMs(host),
      isAnswerLost: (key) => storeFaults.isAnswerLost(host, key),
      watchFaults: storeFaults.watches,
    });
    const countRead = (prefix: string) =>
      readPrefixes.set(prefix, (readPrefixes.get(prefix) ?? 0) + 1);
    return {
      ...calls,
      async list(prefix) {
        countRead(prefix);
        const delayMs = storeFaults.getListDelayMs(prefix);
        if (delayMs > 0) {
          await sleep(delayMs);
        }
        return await calls.list(prefix);
      },
      watch(prefix, options) {
        countRead(prefix);
        return calls.watch(prefix, options);
      },
    };
  }

  async function delayReply(
    target: string,
    reply: Promise<TargetReply>,
  ): Promise<TargetReply> {
    const delayMs = targetReplies.delayMsByTarget.get(target) ??
      targetReplies.delayMs;
    if (delayMs > 0) {
      await sleep(delayMs);
    }
    return await reply;
  }

  /** As the link, but commands get no reply while the target is unreachable. */
  function createCuttableLink(
    link: TargetLink,
    { host, isCut }: { readonly host: HostId; isCut(): boolean },
  ): TargetLink {
    const unanswered = new Set<(reply: TargetReply) => void>();
    return {
      ...link,
      send(command) {
        const { kind } = command;
        const target = link.target.id;
        commands.push({ host, target, kind, time: Date.now() });
        return isCut()
          ? new Promise((resolve) => unanswered.add(resolve))
          : delayReply(target, link.send(command));
      },
      close() {
        link.close();
        unanswered.forEach((resolve) =>
          resolve({ kind: "lost", detail: "closed by this host" })
        );
      },
    };
  }

  function createHost(index: number): Pooler {
    const host = asId<HostId>(`h${index}`);
    const recordLine = createRecorder(host);
    /** Hosts whose addresses this one has. */
    let knownHosts: ReadonlySet<HostId> = new Set();
    let acceptIntroduction: Parameters<PoolPeers["onIntroduction"]>[0] = () =>
      false;
    return createPooler({
      storeCalls: createStoreCalls(host),
      dialer: {
        tryParseReport: createTargetDialer().tryParseReport,
        dial(target, { workspace, timeoutMs }) {
          if (isUnreachable(host, target.id)) {
            return new Promise((resolve) =>
              setTimeout(
                () =>
                  resolve(Err({ code: "unreachable", detail: "no answer" })),
                timeoutMs,
              )
            );
          }
          return Promise.resolve(
            group.connect(target.id, workspace).map((link) =>
              createCuttableLink(link, {
                host,
                isCut: () => isUnreachable(host, target.id),
              })
            ),
          );
        },
      },
      promoter: {
        promote({ target, holder, fencingToken }) {
          orders.push({ target, holder, fencingToken, time: Date.now() });
          if (delayedPromotions.minDelayMs === 0) {
            return group.promote(target, fencingToken);
          }
          const ms = delayedPromotions.minDelayMs * (1 + 2 * random());
          setTimeout(() => void group.promote(target, fencingToken), ms);
          return Promise.resolve({ kind: "unknown", detail: "no answer" });
        },
      },
      peers: {
        setAddresses(known) {
          addToCounter("address_lists", 1, { host });
          knownHosts = new Set(known.keys());
        },
        send(to, msg) {
          addToCounter("peer_messages", 1, { kind: msg.kind });
          const isLost = peerFaults.isLost || !knownHosts.has(to) ||
            messageFaults.isLost(host, to, msg);
          if (!isLost) {
            const { toldVersion: version } = peerFaults;
            const sent = msg.kind === "tell_version" && version !== undefined
              ? { ...msg, version }
              : msg;
            setTimeout(
              () => deliver(host, to, sent),
              messageFaults.getDelayMs(host, to),
            );
          }
        },
        onMessage: (receiver) =>
          void receivers.set(host, (from, msg) => {
            const isIntroduction = msg.kind === "ask_store" ||
              msg.kind === "tell_store";
            const isHeard = knownHosts.has(from) ||
              (isIntroduction && acceptIntroduction(from, `at ${from}`));
            if (isHeard) {
              receiver(from, msg);
            }
          }),
        onIntroduction(accept) {
          acceptIntroduction = accept;
        },
      },
      streams: network.createStreams(host),
      log: {
        info: recordLine,
        request: recordLine,
      },
      metrics: {
        count: (name, labels) => addToCounter(name, 1, labels),
        add: addToCounter,
        observe() {},
        set() {},
      },
      random,
    }, {
      host,
      domain: asId(options.domains?.[index] ?? "d1"),
      peerAddress: `127.0.0.1:${index}`,
      regions: new Map(
        Object.entries(options.regions ?? {}).map((
          [domain, region],
        ) => [asId(domain), region]),
      ),
      freshness: {
        changeInForceMs: 3_000,
        settlingMs: 2_000,
        evacuationInForceMs: options.evacuationInForceMs,
      },
      coldLimit: options.coldLimit,
      schedulesSlots: options.schedulesSlots,
      quotaTolerance: { windowS: 5, part: 0.1, operations: 20 },
      decoding: {
        catalogPrefix: "catalog/",
        catalogKey: CATALOG_KEY,
        targetPrefix: "targets/",
        evacuationPrefix: EVACUATION_KIND,
        tryDecodeCatalog: (value) => value as Catalog,
        tryDecodeTarget: (object: StoredObject) =>
          object.value as TargetRecord | undefined,
        tryDecodeEvacuation,
      },
    });
  }

  setCatalog();
  group.targets.filter(({ record }) =>
    options.unregistered?.includes(record.id) !== true
  ).forEach(({ record }) => register(record.id));
  const killed = new Set<Pooler>();
  const poolers = Array.from(
    { length: options.hosts ?? 1 },
    (_, index) => createHost(index),
  );
  poolers.forEach((pooler) => pooler.start());
  await vi.advanceTimersByTimeAsync(4_000);
  return {
    group,
    poolers,
    store,
    hostsWithoutStore,
    storeFaults,
    readPrefixes,
    commands,
    peerFaults,
    returnStore: (copy) => store.returnTo(copy, { isExternal: isExternalKey }),
    unreachableTargets,
    delayedPromotions,
    messageFaults,
    targetReplies,
    orders,
    counters,
    logLines,
    network,
    setCatalog,
    register,
    deregister: (...ids) =>
      ids.forEach((id) => store.remove(asId<ObjectKey>(`targets/${id}`))),
    openSession: (database, host = 0, workspace = workspaces[0]!) =>
      poolers[host]!.openSession({
        database: asId(database),
        key: toKey(workspace),
      }).unwrap(),
    getTarget: (id) => group.targets.find((t) => t.record.id === id)!,
    evacuate: (domain) => put(toEvacuationKey(domain), {}),
    endEvacuation: (domain) => store.remove(toEvacuationKey(domain)),
    startHost() {
      const pooler = createHost(poolers.length);
      poolers.push(pooler);
      pooler.start();
    },
    listRunning: () => poolers.filter((pooler) => !killed.has(pooler)),
    killHost(index) {
      const host = asId<HostId>(`h${index}`);
      killed.add(poolers[index]!);
      poolers[index]!.stop();
      receivers.delete(host);
      network.reset(host);
    },
    restartHost(index) {
      poolers[index] = createHost(index);
      poolers[index]!.start();
    },
    freezeHost: (index, ms) =>
      void frozenUntil.set(`h${index}`, Date.now() + ms),
    stop() {
      poolers.forEach((pooler) => pooler.stop());
      vi.useRealTimers();
    },
  };
}

function toEvacuationKey(domain: string): ObjectKey {
  return asId<ObjectKey>(EVACUATION_KIND + domain);
}

function createRoute(database: string, consistency: Consistency) {
  return [database, {
    database,
    service: SERVICE,
    consistency,
    statementTimeoutMs: 1_000,
    objectiveMs: 1_000,
    priority: 1,
    isPublic: false,
  }] as const;
}

/** Key of a workspace: `key1` of `w1`. */
function toKey(workspace: string): string {
  return workspace.replace("w", "key");
}

let statementCount = 0;

/**
 * Executes the text of a statement and advances the fake timers until it is
 * answered; throws after `limitMs`.
 */
export async function run(
  session: Session,
  text: string,
  options: { readonly id?: string; readonly limitMs?: number } = {},
): Promise<StatementAnswer> {
  statementCount++;
  const statement = tryDecodeStatement(text) as Statement;
  const id = options.id ?? `s${statementCount}`;
  let answer: StatementAnswer | undefined;
  void session.execute(asId(id), statement).then((res) => answer = res);
  for (let ms = 0; ms < (options.limitMs ?? 10_000); ms += 5) {
    await vi.advanceTimersByTimeAsync(5);
    if (answer) {
      return answer;
    }
  }
  throw new Error(`statement not answered: ${text}`);
}

/** Executes a statement without waiting; the list gets its outcome. */
export function begin(session: Session, text: string): string[] {
  const outcomes: string[] = [];
  const statement = tryDecodeStatement(text) as Statement;
  void session.execute(asId("r1"), statement).then((answer) =>
    outcomes.push(getOutcome(answer))
  );
  return outcomes;
}

/** Returns `done` or the error kind of an answer. */
export function getOutcome(answer: StatementAnswer): string {
  return answer.kind === "done" ? "done" : answer.error;
}
