import type { TeamId } from "../ids/mod.ts";
import type { Team } from "./team.ts";

/** A team, and the hashes of the keys that identify it. */
export interface TeamKeys {
  readonly team: Team;
  /** SHA-256 of each key, in hexadecimal digits. */
  readonly tokenHashes: readonly string[];
}

/** Lookup of the teams of one configuration by id and by the keys of their callers. */
export class TeamTable {
  readonly #byId: ReadonlyMap<TeamId, Team>;
  readonly #byTokenHash: ReadonlyMap<string, Team>;

  /** @param entries Teams with their keys. A key of two teams identifies the first. */
  constructor(entries: readonly TeamKeys[]) {
    this.#byId = new Map(entries.map(({ team }) => [team.id, team]));
    const byTokenHash = new Map<string, Team>();
    entries.forEach(({ team, tokenHashes }) =>
      tokenHashes.filter((hash) => !byTokenHash.has(hash))
        .forEach((hash) => byTokenHash.set(hash, team))
    );
    this.#byTokenHash = byTokenHash;
  }

  /** All teams. */
  get teams(): readonly Team[] {
    return [...this.#byId.values()];
  }

  /** SHA-256 of all keys, in hexadecimal digits. */
  get tokenHashes(): readonly string[] {
    return [...this.#byTokenHash.keys()];
  }

  /** Returns a team by its id. */
  find(id: TeamId): Team | undefined {
    return this.#byId.get(id);
  }

  /**
   * Returns the team that a key identifies. Keys are looked up by their hash, so that the
   * time of the lookup reveals nothing about a key.
   *
   * @param tokenHash SHA-256 of the key, in hexadecimal digits.
   */
  findByTokenHash(tokenHash: string): Team | undefined {
    return this.#byTokenHash.get(tokenHash);
  }
}
