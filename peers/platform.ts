import type { Result } from "neverthrow";
import type { InstanceRecord } from "../membership/mod.ts";

/** Why the platform gave no answer. */
export interface PlatformFailure {
  readonly message: string;
}

/** The platform's list of instances. It lags. */
export interface InstanceList {
  /** Reads the list. */
  read(): Promise<Result<readonly InstanceRecord[], PlatformFailure>>;
}

/** The platform's directory, in which callers find entries. */
export interface Directory {
  /** Publishes the entries of a region. */
  publish(
    region: string,
    urls: readonly string[],
  ): Promise<Result<void, PlatformFailure>>;
}
