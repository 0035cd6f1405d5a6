/** Interfaces through which control reaches backend servers and the service that performs promotions. */

import type { KnownServer, PromotionOutcome, ServerStatus } from '@cyclamenusher/decisions'

/** Requests of control to backend servers. */
export interface ServerAdministration {
  /** @throws Error if the server does not answer in time, or if another server answers */
  askStatus: (server: KnownServer) => Promise<ServerStatus>
  /** Makes a primary with a lower term a replica. @throws Error as `askStatus` does */
  stepDown: (server: KnownServer, term: number) => Promise<ServerStatus>
  close: () => void
}

export interface PromotionOrder {
  group: string
  member: string
  /** Name of the control instance that orders the promotion. */
  holder: string
  /** Fencing token; increases with each change of the holder. */
  fence: number
}

export interface PromotionPort {
  /** Makes a server the primary. `mayCall` is checked again right before the request is sent. */
  promote: (order: PromotionOrder, mayCall: () => boolean) => Promise<PromotionOutcome>
}
