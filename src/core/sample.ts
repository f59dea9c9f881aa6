/** Draws from a list without replacement. */

/** Returns `count` items in random order, or all of them if there are no more. */
export function sampleItems<T>(
  items: readonly T[],
  options: { readonly count: number; random(): number },
): readonly T[] {
  const { count, random } = options;
  return items.length <= count
    ? items
    : items.map((item) => ({ item, order: random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, count)
      .map(({ item }) => item);
}
