import { expect, test } from "vitest";
import { asId, type TargetId } from "../src/core/ids.ts";
import { issueKey } from "../src/core/keys.ts";
import { createTargetNode } from "../standins/target_node.ts";
import { pack } from "msgpackr";

test("a target counts only the frames that contain a caller's key", () => {
  const node = createTargetNode({
    target: asId<TargetId>("t1"),
    initialRole: { kind: "primary" },
    slots: 1,
    maxConnections: 1,
    connectMs: 0,
    statementMs: 0,
    latencyMs: 0,
    lagMs: 0,
  }, () => Promise.resolve(undefined));
  const { secret } = issueKey(asId("w"));
  node.scanForKeys(
    pack({ rid: 1, req: { kind: "status" } }).toString("latin1"),
  );
  expect(node.keyHits).toBe(0);
  node.scanForKeys(pack({ rid: 2, req: { body: secret } }).toString("latin1"));
  expect(node.keyHits).toBe(1);
  node.stop();
});
