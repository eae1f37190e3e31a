import { err } from "neverthrow";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import { readAllowedRegions } from "../resources/mod.ts";
import { createFailure } from "../results/mod.ts";
import { type Exchange, type Filter, readCall, readTeam } from "./exchange.ts";

/** Dependencies of the residency check. */
export interface ResidencyParts {
  readonly configuration: ConfigurationState;
  readonly region: RegionId;
}

/**
 * Returns the filter that computes which regions may serve a request: those that
 * the rules of its service and the rules of its team both allow. Refuses a forwarded
 * request if this region is not among them under the configuration in force here.
 *
 * @param parts Configuration, and region of this instance.
 */
export function createCheckResidency(parts: ResidencyParts): Filter {
  return async (exchange, next) => {
    exchange.allowedRegions = computeAllowedRegions(parts, exchange);
    if (exchange.allowedRegions?.size === 0) {
      return err(
        createFailure(
          "RESIDENCY_REFUSED",
          "The residency rules allow no region",
        ),
      );
    }
    const isForwarded = exchange.origin.kind === "peer";
    if (isForwarded && !(exchange.allowedRegions?.has(parts.region) ?? true)) {
      const message = `Region ${parts.region} may not serve ${
        readCall(exchange).service
      }`;
      return err(createFailure("RESIDENCY_REFUSED", message));
    }
    return await next();
  };
}

function computeAllowedRegions(
  parts: ResidencyParts,
  exchange: Exchange,
): ReadonlySet<RegionId> | undefined {
  const { catalog, services, plainServices } = parts.configuration.view;
  const call = readCall(exchange);
  const servicesByName = call.kind === "model" ? services : plainServices;
  const allowedByService = readAllowedRegions(
    catalog,
    servicesByName.get(call.service)?.spec.residency,
  );
  const allowedByTeam = readAllowedRegions(
    catalog,
    readTeam(exchange).spec.residency,
  );
  if (allowedByService === undefined) return allowedByTeam;
  if (allowedByTeam === undefined) return allowedByService;
  return new Set(
    [...allowedByService].filter((region) => allowedByTeam.has(region)),
  );
}
