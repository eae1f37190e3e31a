import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Part of the file that `node --cpu-prof` writes. */
interface CpuProfile {
  readonly nodes: readonly {
    readonly id: number;
    readonly callFrame: {
      readonly functionName: string;
      readonly url: string;
      readonly lineNumber: number;
      readonly columnNumber: number;
    };
  }[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

/** Number of functions that are listed. */
const MAX_LISTED = 45;

/** Returns the functions with the most own time in the profiles of a folder, one per line. */
export function formatProfile(folder: string): readonly string[] {
  return readdirSync(folder).filter((name) => name.endsWith(".cpuprofile"))
    .flatMap((name) => formatFile(join(folder, name)));
}

function formatFile(path: string): readonly string[] {
  const profile = JSON.parse(readFileSync(path, "utf8")) as CpuProfile;
  const names = new Map(profile.nodes.map(({ callFrame, id }) => {
    const { columnNumber, functionName, lineNumber, url } = callFrame;
    const at = `${url.split("/").at(-1)}:${lineNumber + 1}:${columnNumber + 1}`;
    return [id, `${functionName || "(anonymous)"} ${url === "" ? "" : at}`];
  }));
  const own = new Map<string, number>();
  profile.samples.forEach((id, at) => {
    const name = names.get(id)!;
    own.set(name, (own.get(name) ?? 0) + profile.timeDeltas[at]! / 1_000);
  });
  const busyMs = [...own].filter(([name]) => !name.startsWith("(idle)"))
    .reduce((sum, [, ms]) => sum + ms, 0);
  const listed = [...own].sort(([, a], [, b]) => b - a).slice(0, MAX_LISTED);
  return [
    `${path}: ${Math.round(busyMs)} ms not idle; own time in ms:`,
    ...listed.map(([name, ms]) => `${ms.toFixed(0).padStart(7)}  ${name}`),
  ];
}
