/** An action that runs a little after it was asked for, once for all who asked meanwhile. */

export interface DelayedAction {
  /** Has the action run after the delay, unless it is on its way already. */
  request: () => void
  close: () => void
}

export function createDelayedAction (milliseconds: number, action: () => void): DelayedAction {
  let timer: NodeJS.Timeout | undefined
  return {
    request: () => {
      timer ??= setTimeout(() => {
        timer = undefined
        action()
      }, milliseconds)
    },
    close: () => { clearTimeout(timer) }
  }
}
