// In place of node:http2, which undici loads with its client though no connection of the
// platform's program uses it. undici takes these names from it when it is loaded.
export const constants = {};
