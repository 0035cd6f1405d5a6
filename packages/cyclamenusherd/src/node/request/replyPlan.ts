/**
 * Which replies a backend server owes, in order, and what becomes of each: most
 * are passed on, those to the system's own messages are swallowed.
 */

import { BACKEND, FRONTEND } from '@cyclamenusher/protocol'

export type ReplyAction = 'pass' | 'swallow'

/** Frames that end the reply to one message, by the message's type. */
const FINAL_FRAMES: Record<number, ReadonlySet<number>> = {
  [FRONTEND.parse]: new Set([BACKEND.parseComplete]),
  [FRONTEND.bind]: new Set([BACKEND.bindComplete]),
  [FRONTEND.describe]: new Set([BACKEND.rowDescription, BACKEND.noData]),
  [FRONTEND.execute]: new Set([BACKEND.commandComplete, BACKEND.emptyQueryResponse, BACKEND.portalSuspended]),
  [FRONTEND.close]: new Set([BACKEND.closeComplete]),
  [FRONTEND.sync]: new Set([BACKEND.readyForQuery]),
  [FRONTEND.query]: new Set([BACKEND.readyForQuery])
}

interface ExpectedReply {
  type: number
  action: ReplyAction
  onEnd?: () => void
}

export interface ReplyPlan {
  /** A message of `type` goes out, whose reply has this fate; `onEnd` when it came in full. */
  expect: (type: number, action: ReplyAction, onEnd?: () => void) => void
  /** What becomes of a frame that arrived. */
  receiveFrame: (type: number) => ReplyAction
  /** Replies to ReadyForQuery that are still owed. */
  pendingReadyCount: () => number
}

function endsWithReady ({ type }: ExpectedReply): boolean {
  return type === FRONTEND.sync || type === FRONTEND.query
}

export function createReplyPlan (): ReplyPlan {
  const expectedReplies: ExpectedReply[] = []
  let nextIndex = 0
  let pendingReadyCount = 0

  function skipToReady (): void {
    while (nextIndex < expectedReplies.length && !endsWithReady(expectedReplies[nextIndex])) nextIndex += 1
  }

  return {
    expect: (type, action, onEnd) => {
      if (FINAL_FRAMES[type] === undefined) return
      expectedReplies.push({ type, action, onEnd })
      if (type === FRONTEND.sync || type === FRONTEND.query) pendingReadyCount += 1
    },
    receiveFrame: type => {
      // After an error the server skips what came before Sync, also what was sent later.
      if (type === BACKEND.readyForQuery) skipToReady()
      const reply = expectedReplies[nextIndex]
      if (reply === undefined) return 'pass'
      if (type === BACKEND.errorResponse) {
        // An error skips every message up to the next Sync; the caller sees it in any case.
        skipToReady()
        return 'pass'
      }
      if (!FINAL_FRAMES[reply.type].has(type)) return reply.action
      nextIndex += 1
      if (endsWithReady(reply)) pendingReadyCount -= 1
      reply.onEnd?.()
      return reply.action
    },
    pendingReadyCount: () => pendingReadyCount
  }
}
