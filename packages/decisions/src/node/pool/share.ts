/** An instance's part of a limit that all entry instances keep together. */

/**
 * Connections of one server that the instance `self` may open. The whole is
 * split evenly; what does not divide goes to the first instances by name, so
 * that the parts add up to the whole. A part is at least one: with more
 * instances than connections, the server itself refuses what is too many.
 */
export function computeConnectionShare (total: number, self: string, instances: readonly string[]): number {
  const names = [...new Set([...instances, self])].sort()
  const even = Math.floor(total / names.length)
  const extra = names.indexOf(self) < total % names.length ? 1 : 0
  return Math.max(1, even + extra)
}
