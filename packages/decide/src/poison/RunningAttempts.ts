/** Tracks the attempts that run on each server, with the fingerprints of their requests. */
export default class RunningAttempts {
  private readonly servers = new Map<string, Map<object, string>>();

  add(serverId: string, attempt: object, fingerprint: string): void {
    const running = this.servers.get(serverId) ?? new Map<object, string>();
    running.set(attempt, fingerprint);
    this.servers.set(serverId, running);
  }

  remove(serverId: string, attempt: object): void {
    const running = this.servers.get(serverId);
    running?.delete(attempt);
    if (running?.size === 0) {
      this.servers.delete(serverId);
    }
  }

  /** Lists the distinct fingerprints of the attempts on a server. */
  list(serverId: string): readonly string[] {
    return [...new Set(this.servers.get(serverId)?.values() ?? [])];
  }
}
