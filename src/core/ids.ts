/** Branded ids, so that one kind of id is never passed for another. */

declare const brand: unique symbol;

/** A string that stands for one kind of thing only. */
type Id<Name extends string> = string & { readonly [brand]: Name };

/** One machine that runs the daemon. */
export type HostId = Id<"host">;
/** A set of hosts and targets that fail together. */
export type DomainId = Id<"domain">;
/** A customer whose callers share a plan. */
export type WorkspaceId = Id<"workspace">;
/** One database server of a group. */
export type TargetId = Id<"target">;
/** A primary and its replicas. */
export type GroupId = Id<"group">;
/** A database service that plans name. */
export type ServiceId = Id<"service">;
/** A database as clients name it when they open a session. */
export type DatabaseName = Id<"database">;
/** A plan that workspaces hold. */
export type PlanId = Id<"plan">;
/** The public part of a key. */
export type KeyId = Id<"key">;
/** A request, unique within its workspace. */
export type ReqId = Id<"request">;
/** An open transaction, naming the host that holds its connection. */
export type TxId = Id<"transaction">;
/** The key of an object of the platform. */
export type ObjectKey = Id<"object">;

/** Brands a string as the kind of id that the context asks for. */
export function asId<T extends Id<string>>(text: string): T {
  return text as T;
}
