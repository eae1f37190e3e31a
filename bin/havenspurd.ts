#!/usr/bin/env node
import { EARLY_SIGNALS } from "./early_signals.ts";

// Loaded after the signals are taken over: all modules of a static import load before that.
const { runDaemon } = await import("./run_daemon.ts");
await runDaemon(EARLY_SIGNALS);
