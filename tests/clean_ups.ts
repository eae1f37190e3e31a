/** Functions that close what fixtures open; each test file calls them after each test. */
export const CLEAN_UPS: (() => void)[] = [];
