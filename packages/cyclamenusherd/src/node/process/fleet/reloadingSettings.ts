/** Settings that are reloaded while the process runs: at the next use after a SIGHUP, or once they have reached a certain age. */

/** Age at which the next use reloads the settings, in milliseconds. */
const RELOAD_INTERVAL_MILLISECONDS = 1_000

/**
 * Returns a function that provides the current settings. If reading fails, for
 * example because the file is being written, the previous settings stay in effect.
 */
export function createReloadingSettings<Settings> (read: () => Settings, now: () => number = () => performance.now()): () => Settings {
  let settings = read()
  let readAt = now()
  process.on('SIGHUP', () => { readAt = -Infinity })
  return () => {
    if (now() - readAt < RELOAD_INTERVAL_MILLISECONDS) return settings
    readAt = now()
    try {
      settings = read()
    } catch (error) {
      console.error(JSON.stringify({ level: 'warn', scope: 'process', message: 'The settings could not be reloaded; the previous ones stay in effect.', facts: { reason: (error as Error).message } }))
    }
    return settings
  }
}
