/** What a fleet needs of the platform around it; the platform's adapter implements these. */

import type { KnownServer, PromotionOutcome, ServerStatus } from '@cyclamenusher/decisions'

/** Questions and orders of control to backend servers. */
export interface ServerAdministration {
  /** @throws Error when the server does not answer in time, or is another one */
  askStatus: (server: KnownServer) => Promise<ServerStatus>
  /** Makes a primary of a lower term a replica. @throws Error as `askStatus` */
  stepDown: (server: KnownServer, term: number) => Promise<ServerStatus>
  close: () => void
}

export interface PromotionOrder {
  group: string
  member: string
  /** Name of the instance that may promote now. */
  holder: string
  /** Fencing token: rises with each holder. */
  fence: number
}

export interface PromotionPort {
  /** Makes a server the primary; `mayCall` is asked once more right before the call is sent. */
  promote: (order: PromotionOrder, mayCall: () => boolean) => Promise<PromotionOutcome>
}
