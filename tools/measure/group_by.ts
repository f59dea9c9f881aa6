/** Groups values by key, in the order of each key's first occurrence. */
export function groupBy<T, K>(
  values: readonly T[],
  getKey: (value: T) => K,
): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const value of values) {
    const key = getKey(value);
    const group = groups.get(key);
    if (group) {
      group.push(value);
    } else {
      groups.set(key, [value]);
    }
  }
  return groups;
}
