/** Serves mandate requests at a control instance, which promises seats to entry instances. */

import { DEFAULT_RATE_POLICY, createVoter, promiseSeats } from '@cyclamenusher/decisions'
import { MandateService } from '@cyclamenusher/protocol'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Clock } from '../clock.js'

/** Most seats that one request may name. */
const MAXIMUM_SEATS_PER_REQUEST = 1_000
/** Longest name of a seat or a holder, in characters. */
const MAXIMUM_NAME_CHARACTERS = 256

function areValidNames (names: readonly string[]): boolean {
  return names.length <= MAXIMUM_SEATS_PER_REQUEST && names.every(name => name.length <= MAXIMUM_NAME_CHARACTERS)
}

/** Registers the service. It promises nothing until all promises of an earlier process have expired. */
export function registerMandateService (connect: ConnectRouter, mandateMilliseconds: number, clock: Clock): void {
  const policy = { ...DEFAULT_RATE_POLICY, mandateMilliseconds }
  const voter = createVoter(clock.now(), policy)
  connect.service(MandateService, {
    mandate: request => {
      const valid = areValidNames(request.seats) && areValidNames(request.released) && areValidNames([request.holder])
      return { promised: valid ? promiseSeats(voter, request, clock.now(), policy) : [] }
    }
  })
}
