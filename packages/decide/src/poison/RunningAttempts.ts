/** Fingerprints of the attempts that run on each server. */
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

  list(serverId: string): readonly string[] {
    return [...new Set(this.servers.get(serverId)?.values() ?? [])];
  }
}
