/** Bounds the nesting of values that come from outside. */

/** Tells whether a value has at most `depth` levels, without recursion. */
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
