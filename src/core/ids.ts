/** Branded id types, so that one kind of id cannot be passed as another. */

declare const brand: unique symbol;

/** A string branded with the kind of entity that it identifies. */
type Id<Name extends string> = string & { readonly [brand]: Name };

/** A machine that runs the daemon. */
export type HostId = Id<"host">;
/** A failure domain: hosts and targets that can fail together. */
export type DomainId = Id<"domain">;
/** A customer whose callers share a plan. */
export type WorkspaceId = Id<"workspace">;
/** A database server of a group. */
export type TargetId = Id<"target">;
/** A database group: a primary and its replicas. */
export type GroupId = Id<"group">;
/** A database service to which plans give access. */
export type ServiceId = Id<"service">;
/** The name of a database that a client passes when it opens a session. */
export type DatabaseName = Id<"database">;
/** A plan to which workspaces are assigned. */
export type PlanId = Id<"plan">;
/** The public part of an API key. */
export type KeyId = Id<"key">;
/** A request, unique within its workspace. */
export type ReqId = Id<"request">;
/** An open transaction; the id includes the host that holds its connection. */
export type TxId = Id<"transaction">;
/** The key of a platform object. */
export type ObjectKey = Id<"object">;

/** Brands a string as the id type that the context expects. */
export function asId<T extends Id<string>>(text: string): T {
  return text as T;
}
