/** The deployments that the scenarios measure, with their sizes and latencies. */

export interface MeasuredDeployment {
  name: 'agency' | 'head-office'
  failureDomains: string[]
  /** One-way delay between failure domains, in milliseconds. */
  domainDelayMilliseconds: number
  /** One-way delay between a caller and an entry instance, in milliseconds. */
  clientDelayMilliseconds: number
  /** Number of entry instances. */
  entries: number
  groups: number
  /** Backend servers in each group. */
  members: number
  /** Connections that a backend server accepts. */
  connectionLimit: number
  /** Time that a backend server takes to open a connection, in milliseconds. */
  openMilliseconds: number
  /** Rate, in requests per second, and burst of each account; a few accounts have most of the rate. */
  accounts: Array<{ name: string, rate: number, burst: number }>
}

const ACCOUNTS = [
  { name: 'account-1', rate: 400, burst: 400 },
  { name: 'account-2', rate: 300, burst: 300 },
  { name: 'account-3', rate: 60, burst: 60 },
  { name: 'account-4', rate: 60, burst: 60 },
  { name: 'account-5', rate: 40, burst: 40 },
  { name: 'account-6', rate: 40, burst: 40 },
  { name: 'account-7', rate: 20, burst: 20 },
  { name: 'account-8', rate: 20, burst: 20 }
]

export const DEPLOYMENTS: Record<MeasuredDeployment['name'], MeasuredDeployment> = {
  agency: {
    name: 'agency',
    failureDomains: ['la-plata', 'conurbano', 'mar-del-plata'],
    domainDelayMilliseconds: 1.5,
    clientDelayMilliseconds: 3,
    entries: 9,
    groups: 3,
    members: 3,
    connectionLimit: 25,
    openMilliseconds: 10,
    accounts: ACCOUNTS
  },
  'head-office': {
    name: 'head-office',
    failureDomains: ['ktm-a', 'ktm-b', 'ktm-c'],
    domainDelayMilliseconds: 0.5,
    clientDelayMilliseconds: 1,
    entries: 8,
    groups: 3,
    members: 3,
    connectionLimit: 45,
    openMilliseconds: 10,
    accounts: ACCOUNTS
  }
}
