/** What a control instance does for rate and burst: it promises seats to entry instances. */

import { DEFAULT_RATE_POLICY, createVoter, promiseSeats } from '@cyclamenusher/decisions'
import { MandateService } from '@cyclamenusher/protocol'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Clock } from '../clock.js'

/** Seats that one request may name. */
const MAXIMUM_SEATS = 1_000
/** Longest name of a seat or a holder, in characters. */
const MAXIMUM_NAME_CHARACTERS = 256

function areNames (names: readonly string[]): boolean {
  return names.length <= MAXIMUM_SEATS && names.every(name => name.length <= MAXIMUM_NAME_CHARACTERS)
}

/** Registers the service; promises start when all of an earlier process are over. */
export function serveMandates (connect: ConnectRouter, mandateMilliseconds: number, clock: Clock): void {
  const policy = { ...DEFAULT_RATE_POLICY, mandateMilliseconds }
  const voter = createVoter(clock.now(), policy)
  connect.service(MandateService, {
    mandate: request => {
      const sound = areNames(request.seats) && areNames(request.released) && areNames([request.holder])
      return { promised: sound ? promiseSeats(voter, request, clock.now(), policy) : [] }
    }
  })
}
