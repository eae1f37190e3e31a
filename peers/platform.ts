import type { Result } from "neverthrow";
import type { InstanceRecord } from "../membership/mod.ts";

/** Why a call to the platform failed. */
export interface PlatformFailure {
  readonly message: string;
}

/** The platform's list of instances, which lags behind reality. */
export interface InstanceList {
  /** Returns the instances in the list. */
  read(): Promise<Result<readonly InstanceRecord[], PlatformFailure>>;
}

/** The platform's directory, where callers find entries. */
export interface Directory {
  /** Publishes the entries of a region. */
  publish(
    region: string,
    urls: readonly string[],
  ): Promise<Result<void, PlatformFailure>>;
}
