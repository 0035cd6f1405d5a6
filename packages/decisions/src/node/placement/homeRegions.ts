/**
 * Regions to which operations are limited. A route and a client account may each list
 * regions; an operation then uses only servers and holders in regions of both lists.
 */

export interface RegionMap {
  /** Region of this instance; undefined if the settings name none. */
  own?: string
  /** Region by failure domain. */
  ofDomain: ReadonlyMap<string, string>
}

export const NO_REGIONS: RegionMap = { ofDomain: new Map() }

interface RegionLimited {
  allowedRegions?: readonly string[]
}

/** Combines the lists of a route and an account. Undefined: no limit; an empty list: no region is allowed. */
export function combineRegions (route: RegionLimited, account: RegionLimited | undefined): string[] | undefined {
  const lists = [route.allowedRegions, account?.allowedRegions].filter(list => list !== undefined && list.length > 0) as string[][]
  if (lists.length === 0) return undefined
  const [first, ...others] = lists
  return [...new Set(first)].filter(region => others.every(list => list.includes(region)))
}

/** Whether a failure domain lies in an allowed region. Where there is a limit, a domain of unknown region does not. */
export function isAllowedDomain (allowedRegions: readonly string[] | undefined, failureDomain: string | undefined, { ofDomain }: RegionMap): boolean {
  if (allowedRegions === undefined) return true
  const region = failureDomain === undefined ? undefined : ofDomain.get(failureDomain)
  return region !== undefined && allowedRegions.includes(region)
}

/** Whether this instance may receive the text of an operation from another instance. */
export function isAllowedHere (allowedRegions: readonly string[] | undefined, { own }: RegionMap): boolean {
  return allowedRegions === undefined || (own !== undefined && allowedRegions.includes(own))
}

/** Listed regions to which no failure domain is mapped. */
export function listUnknownRegions (limited: readonly RegionLimited[], { ofDomain }: RegionMap): string[] {
  const known = new Set(ofDomain.values())
  return [...new Set(limited.flatMap(({ allowedRegions = [] }) => allowedRegions))].filter(region => !known.has(region))
}
