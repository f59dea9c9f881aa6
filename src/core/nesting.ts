/** Limits the nesting depth of untrusted values. */

/**
 * Returns true if a value is nested at most `depth` levels deep. Iterative, so
 * that deep input cannot overflow the stack.
 */
export function isNestedWithin(value: unknown, depth: number): boolean {
  let level: unknown[] = [value];
  for (let remaining = depth; level.length > 0; remaining--) {
    if (remaining < 0) {
      return false;
    }
    level = level
      .filter((entry) => typeof entry === "object" && entry !== null)
      .flatMap((entry) => Object.values(entry as object));
  }
  return true;
}
