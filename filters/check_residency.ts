import { err } from "neverthrow";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import { readAllowedRegions } from "../resources/mod.ts";
import { createFailure } from "../results/mod.ts";
import { type Exchange, type Filter, readCall, readTeam } from "./exchange.ts";

/** What the check needs. */
export interface ResidencyParts {
  readonly configuration: ConfigurationState;
  readonly region: RegionId;
}

/**
 * Returns the filter that works out which regions may serve a request: those
 * that the rules of its service and of its team both allow. At the receiver of
 * a forwarded request the own region must be among them, by what is in force here.
 *
 * @param parts Configuration and own region.
 */
export function createCheckResidency(parts: ResidencyParts): Filter {
  return async (exchange, next) => {
    exchange.allowed = readAllowed(parts, exchange);
    if (exchange.allowed?.size === 0) {
      return err(
        createFailure(
          "RESIDENCY_REFUSED",
          "The residency rules allow no region",
        ),
      );
    }
    const isForwarded = exchange.origin.kind === "peer";
    if (isForwarded && !(exchange.allowed?.has(parts.region) ?? true)) {
      const message = `Region ${parts.region} may not serve ${
        readCall(exchange).service
      }`;
      return err(createFailure("RESIDENCY_REFUSED", message));
    }
    return await next();
  };
}

function readAllowed(
  parts: ResidencyParts,
  exchange: Exchange,
): ReadonlySet<RegionId> | undefined {
  const { catalog, services, plainServices } = parts.configuration.view;
  const call = readCall(exchange);
  const service = call.kind === "model" ? services : plainServices;
  const ofService = readAllowedRegions(
    catalog,
    service.get(call.service)?.spec.residency,
  );
  const ofTeam = readAllowedRegions(catalog, readTeam(exchange).spec.residency);
  if (ofService === undefined) return ofTeam;
  if (ofTeam === undefined) return ofService;
  return new Set([...ofService].filter((region) => ofTeam.has(region)));
}
