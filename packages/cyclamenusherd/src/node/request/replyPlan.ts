/**
 * Which replies a backend server owes, in order, and what becomes of each: most
 * are passed on, those to the system's own messages are swallowed.
 */

import { BACKEND, FRONTEND } from '@cyclamenusher/protocol'

export type ReplyFate = 'pass' | 'swallow'

/** Frames that end the reply to one message, by the message's type. */
const ENDINGS: Record<number, ReadonlySet<number>> = {
  [FRONTEND.parse]: new Set([BACKEND.parseComplete]),
  [FRONTEND.bind]: new Set([BACKEND.bindComplete]),
  [FRONTEND.describe]: new Set([BACKEND.rowDescription, BACKEND.noData]),
  [FRONTEND.execute]: new Set([BACKEND.commandComplete, BACKEND.emptyQueryResponse, BACKEND.portalSuspended]),
  [FRONTEND.close]: new Set([BACKEND.closeComplete]),
  [FRONTEND.sync]: new Set([BACKEND.readyForQuery]),
  [FRONTEND.query]: new Set([BACKEND.readyForQuery])
}

interface Step {
  type: number
  fate: ReplyFate
  onEnd?: () => void
}

export interface ReplyPlan {
  /** A message of `type` goes out, whose reply has this fate; `onEnd` when it came in full. */
  expect: (type: number, fate: ReplyFate, onEnd?: () => void) => void
  /** What becomes of a frame that arrived. */
  next: (type: number) => ReplyFate
  /** Replies to ReadyForQuery that are still owed. */
  readyOwed: () => number
}

function isReadyStep ({ type }: Step): boolean {
  return type === FRONTEND.sync || type === FRONTEND.query
}

export function createReplyPlan (): ReplyPlan {
  const steps: Step[] = []
  let first = 0
  let readyOwed = 0

  function skipToReady (): void {
    while (first < steps.length && !isReadyStep(steps[first])) first += 1
  }

  return {
    expect: (type, fate, onEnd) => {
      if (ENDINGS[type] === undefined) return
      steps.push({ type, fate, onEnd })
      if (type === FRONTEND.sync || type === FRONTEND.query) readyOwed += 1
    },
    next: type => {
      // After an error the server skips what came before Sync, also what was sent later.
      if (type === BACKEND.readyForQuery) skipToReady()
      const step = steps[first]
      if (step === undefined) return 'pass'
      if (type === BACKEND.errorResponse) {
        // An error skips every message up to the next Sync; the caller sees it in any case.
        skipToReady()
        return 'pass'
      }
      if (!ENDINGS[step.type].has(type)) return step.fate
      first += 1
      if (isReadyStep(step)) readyOwed -= 1
      step.onEnd?.()
      return step.fate
    },
    readyOwed: () => readyOwed
  }
}
