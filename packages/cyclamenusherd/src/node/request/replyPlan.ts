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

export interface ReplyPlan {
  /** A message of `type` goes out, whose reply has this fate. */
  expect: (type: number, fate: ReplyFate) => void
  /** What becomes of a frame that arrived. */
  next: (type: number) => ReplyFate
  /** Replies to ReadyForQuery that are still owed. */
  readyOwed: () => number
}

export function createReplyPlan (): ReplyPlan {
  let steps: Array<{ type: number, fate: ReplyFate }> = []
  let readyOwed = 0

  function isReadyStep ({ type }: { type: number }): boolean {
    return type === FRONTEND.sync || type === FRONTEND.query
  }

  return {
    expect: (type, fate) => {
      if (ENDINGS[type] === undefined) return
      steps.push({ type, fate })
      if (isReadyStep({ type })) readyOwed += 1
    },
    next: type => {
      if (steps.length === 0) return 'pass'
      const [step] = steps
      if (type === BACKEND.errorResponse) {
        // An error skips every message up to the next Sync.
        const ready = steps.findIndex(isReadyStep)
        const { fate } = step
        steps = ready < 0 ? [] : steps.slice(ready)
        return fate === 'swallow' ? 'pass' : fate
      }
      if (!ENDINGS[step.type].has(type)) return step.fate
      steps.shift()
      if (isReadyStep(step)) readyOwed -= 1
      return step.fate
    },
    readyOwed: () => readyOwed
  }
}
