/**
 * Decides which targets may get new work at all: not those of an evacuated
 * failure domain, and for a statement with homes only those in its home
 * regions. Every path that chooses a target asks this module.
 */

import type { DomainId, HostId, ServiceId, WorkspaceId } from "../core/ids.ts";
import type { PeerInfo } from "../core/types.ts";
import type { Directory } from "./directory.ts";
import type { PoolFailure } from "./errors.ts";
import type { PrimaryTracker } from "./primary_tracker.ts";
import type {
  Catalog,
  PoolIo,
  Route,
  TargetRecord,
  Topology,
} from "./types.ts";

/**
 * Shortest retry delay while a primary is replaced, in milliseconds: about the
 * duration of a failover in order.
 */
const FAILOVER_RETRY_MS = 500;
/**
 * Shortest retry delay where no other target may take over, in milliseconds.
 * Only the operator or a new target can end this.
 */
const NO_TARGET_RETRY_MS = 2_000;

/** What a statement needs of its target. */
export type TargetUse =
  /** Any target that has reached the read floor. */
  | "read"
  /** Only the primary. */
  | "primary";

/** What decides where a statement may run, besides its service. */
export interface WorkScope {
  readonly route: Pick<Route, "service" | "homeRegions">;
  readonly workspace: WorkspaceId;
}

/** Decisions on which targets may get new work. */
export interface TargetEligibility {
  /** Whether the target may get statements and status requests. */
  isEligible(target: TargetRecord): boolean;
  /** Whether the target may get statements of this scope. */
  isEligibleFor(target: TargetRecord, scope: WorkScope): boolean;
  /** Lists the targets of a service that may get new reads of this scope. */
  listEligible(service: ServiceId, scope: WorkScope): readonly TargetRecord[];
  /**
   * Returns why no target may get work of this scope now; undefined if one may,
   * or if none is known yet.
   */
  tryRefuse(scope: WorkScope, use: TargetUse): PoolFailure | undefined;
  /** Whether commands of this scope may pass through the host. */
  mayForwardThrough(host: HostId, scope: WorkScope): boolean;
  isEvacuated(target: TargetRecord): boolean;
  /** Whether the target is in the home regions of the scope. */
  isAtHome(target: TargetRecord, scope: WorkScope): boolean;
  /** Whether the target may become primary while others may as well. */
  mayLead(target: TargetRecord): boolean;
  /** Whether transactions that are open at the target must end now. */
  mustEndTransactions(target: TargetRecord): boolean;
}

/** Creates the decisions; they keep no state but caches. */
export function createTargetEligibility(options: {
  readonly topology: Topology;
  readonly directory: Pick<Directory, "list" | "tryGet">;
  readonly primaries: Pick<PrimaryTracker, "tryPrimary">;
  tryGetCatalog(): Pick<Catalog, "homesByWorkspace"> | undefined;
  /** Lists all running hosts; the same array until it changes. */
  listHosts(): readonly PeerInfo[];
  /**
   * Time for which transactions may stay open at a target of an evacuated
   * domain, in milliseconds.
   */
  readonly transactionGraceMs: number;
  readonly io: Pick<PoolIo, "metrics" | "random">;
}): TargetEligibility {
  const { topology, directory, primaries } = options;
  /** Services whose evacuated primary has no successor yet. */
  const awaitingSuccessor = new Map<ServiceId, DomainId>();
  let domainsByHost: {
    readonly hosts: readonly PeerInfo[];
    readonly domains: ReadonlyMap<HostId, DomainId>;
  } = { hosts: [], domains: new Map() };

  /** Also true of every domain until the evacuations are known. */
  function isDomainEvacuated(domain: DomainId): boolean {
    const { evacuations } = topology;
    return evacuations !== undefined &&
      (!evacuations.isKnown() ||
        evacuations.tryGetActiveMs(domain) !== undefined);
  }

  const isEvacuated = ({ domain }: TargetRecord) => isDomainEvacuated(domain);

  /** Returns the regions of the scope; undefined if it may run anywhere. */
  function tryGetHomes(
    { route, workspace }: WorkScope,
  ): readonly string[] | undefined {
    const ofRoute = route.homeRegions;
    const ofWorkspace = options.tryGetCatalog()?.homesByWorkspace
      ?.get(workspace);
    return ofRoute && ofWorkspace
      ? ofRoute.filter((region) => ofWorkspace.includes(region))
      : ofRoute ?? ofWorkspace;
  }

  function isAtHome(
    domain: DomainId,
    homes: readonly string[] | undefined,
  ): boolean {
    const region = topology.regions.get(domain);
    return homes === undefined ||
      (region !== undefined && homes.includes(region));
  }

  function refuse(
    detail: string,
    { use, reason, minRetryMs }: {
      readonly use: TargetUse;
      readonly reason: "evacuated" | "homes" | "no_target";
      readonly minRetryMs: number;
    },
  ): PoolFailure {
    options.io.metrics.count("ineligible_refusals_total", { reason });
    return {
      error: use === "primary" ? "no_primary" : "overloaded",
      detail,
      // Spread, so that the refused do not come back all at once.
      retryAfterMs: Math.ceil(minRetryMs * (1 + options.io.random())),
    };
  }

  const mayLead = (target: TargetRecord) =>
    !target.isDraining && !isEvacuated(target);

  /** Refuses work while the evacuated primary of the service has no successor. */
  function refuseUntilReplaced(service: ServiceId): PoolFailure {
    const hasSuccessor = directory.list(service).some(mayLead);
    return refuse("the primary's failure domain is evacuated", {
      use: "primary",
      reason: "evacuated",
      minRetryMs: hasSuccessor ? FAILOVER_RETRY_MS : NO_TARGET_RETRY_MS,
    });
  }

  function tryRefuseAtPrimary(
    { service }: Pick<Route, "service">,
    homes: readonly string[] | undefined,
  ): PoolFailure | undefined {
    const id = primaries.tryPrimary(service);
    const primary = id && directory.tryGet(id);
    if (!primary) {
      // A primary that has stepped down because of the evacuation.
      const domain = awaitingSuccessor.get(service);
      return domain !== undefined && isDomainEvacuated(domain)
        ? refuseUntilReplaced(service)
        : undefined;
    }
    if (isEvacuated(primary)) {
      awaitingSuccessor.set(service, primary.domain);
      return refuseUntilReplaced(service);
    }
    awaitingSuccessor.delete(service);
    return isAtHome(primary.domain, homes)
      ? undefined
      : refuse("the primary is outside of the home regions", {
        use: "primary",
        reason: "homes",
        minRetryMs: NO_TARGET_RETRY_MS,
      });
  }

  /** Lists the targets that may get new reads if homes and domains allow it. */
  function listUndrained(service: ServiceId): readonly TargetRecord[] {
    return directory.list(service).filter(({ isDraining }) => !isDraining);
  }

  function listEligible(
    service: ServiceId,
    scope: WorkScope,
  ): readonly TargetRecord[] {
    const homes = tryGetHomes(scope);
    return listUndrained(service).filter((target) =>
      !isEvacuated(target) && isAtHome(target.domain, homes)
    );
  }

  return {
    isEligible: (target) => !isEvacuated(target),
    isEligibleFor: (target, scope) =>
      !isEvacuated(target) && isAtHome(target.domain, tryGetHomes(scope)),
    listEligible,
    tryRefuse(scope, use) {
      const homes = tryGetHomes(scope);
      if (homes?.length === 0) {
        return refuse("route and workspace have no home region in common", {
          use: "read",
          reason: "homes",
          minRetryMs: NO_TARGET_RETRY_MS,
        });
      }
      const { service } = scope.route;
      if (use === "primary") {
        return tryRefuseAtPrimary(scope.route, homes);
      }
      return listUndrained(service).length > 0 &&
          listEligible(service, scope).length === 0
        ? refuse("all targets are in evacuated domains or other regions", {
          use,
          reason: "no_target",
          minRetryMs: NO_TARGET_RETRY_MS,
        })
        : undefined;
    },
    mayForwardThrough(host, scope) {
      const homes = tryGetHomes(scope);
      if (homes === undefined) {
        return true;
      }
      const hosts = options.listHosts();
      if (hosts !== domainsByHost.hosts) {
        const domains = new Map(
          hosts.map((peer) => [peer.host, peer.domain]),
        );
        domainsByHost = { hosts, domains };
      }
      const domain = domainsByHost.domains.get(host);
      const ownRegion = topology.regions.get(topology.domain);
      return domain !== undefined &&
        (isAtHome(domain, homes) ||
          (ownRegion !== undefined &&
            topology.regions.get(domain) === ownRegion));
    },
    isEvacuated,
    isAtHome: ({ domain }, scope) => isAtHome(domain, tryGetHomes(scope)),
    mayLead,
    mustEndTransactions(target) {
      const activeMs = topology.evacuations?.tryGetActiveMs(target.domain);
      return activeMs !== undefined && activeMs >= options.transactionGraceMs;
    },
  };
}
