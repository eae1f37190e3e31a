#!/usr/bin/env node
import { runInstance } from "../platform/run_instance.ts";

await runInstance();
