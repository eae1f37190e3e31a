/**
 * Settings of the daemons in TOML, validated by a schema.
 *
 * @example
 * ```ts
 * import { parseSettings, SETTINGS_SCHEMA } from "./settings/mod.ts";
 * parseSettings(text, SETTINGS_SCHEMA).isOk();
 * ```
 * @module
 */
export * from "./parse_settings.ts";
export * from "./settings.ts";
