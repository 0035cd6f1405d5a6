/**
 * The replies that are expected from a backend server, in order. Most are passed on to
 * the caller; replies to messages that the instance added are swallowed.
 */

import { BACKEND, FRONTEND } from '@cyclamenusher/protocol'

export type ReplyAction = 'pass' | 'swallow'

/** Types of the frames that end the reply to a message, by the message's type. */
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
  /** Adds the reply to a message of `type` that is sent. `onEnd` is called when the reply is complete, unless an error skips the message. */
  expect: (type: number, action: ReplyAction, onEnd?: () => void) => void
  /** Advances the plan by a received frame, and returns what to do with the frame. */
  receiveFrame: (type: number) => ReplyAction
  /** Number of ReadyForQuery frames that are still expected. */
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
      // After an error the server skips all messages before Sync, including those sent after the error.
      if (type === BACKEND.readyForQuery) skipToReady()
      const reply = expectedReplies[nextIndex]
      if (reply === undefined) return 'pass'
      if (type === BACKEND.errorResponse) {
        // An error skips every message up to the next Sync. It is passed on whatever message caused it.
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
