import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import {
  Agent,
  type buildConnector,
  Client,
  DecoratorHandler,
  type Dispatcher,
  Pool,
} from "undici";
import { type AnswerFraming, readAnswerFraming } from "../forwarding/mod.ts";
import { findResetError } from "./connection_errors.ts";
import { FramingLimit } from "./framing_limit.ts";
import { toRawHeaders } from "./raw_headers.ts";

/** Connection of a client; `undefined` until it is open. */
interface Connection {
  socket: Socket | undefined;
  framingLimit: FramingLimit | undefined;
}

/** Methods of undici's handler, which its types leave out. */
interface ResponseHandler {
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    statusText?: string,
  ): void;
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void;
  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void;
  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void;
}
const ResponseDecorator = DecoratorHandler as unknown as new (
  handler: Dispatcher.DispatchHandler,
) => ResponseHandler;

/**
 * Returns an agent for which a body fails whose connection is reset: undici takes a body with
 * neither a length nor chunks as complete then. It also bounds the bytes beside bodies.
 *
 * @param options Options of the agent. `factory` is set by this function.
 */
export function createResetCheckingAgent(
  options: Omit<Agent.Options, "factory">,
): Agent {
  return new Agent({
    ...options,
    factory: (origin, poolOptions) =>
      new Pool(origin, { ...poolOptions, factory: createClient }),
  });
}

/** Returns a client, which has one connection, that checks how its answers end. */
function createClient(origin: URL, options: Client.Options): Client {
  const connection: Connection = {
    socket: undefined,
    framingLimit: undefined,
  };
  const connect = options.connect as buildConnector.connector;
  const client = new Client(origin, {
    ...options,
    connect: (target, callback) =>
      connect(target, (...result) => {
        connection.socket = result[1] ?? undefined;
        connection.framingLimit = connection.socket &&
          new FramingLimit(connection.socket);
        callback(...result);
      }),
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (call, handler) =>
    dispatch(call, new ResetCheck(handler, connection, call.method));
  return client;
}

class ResetCheck extends ResponseDecorator {
  readonly #connection: Connection;
  readonly #method: string;
  #framing: AnswerFraming = "length";

  constructor(
    handler: Dispatcher.DispatchHandler,
    connection: Connection,
    method: string,
  ) {
    super(handler);
    this.#connection = connection;
    this.#method = method;
  }

  override onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    statusText?: string,
  ): void {
    const answer = { status, headers: toRawHeaders(headers) };
    this.#framing = readAnswerFraming(this.#method, answer);
    super.onResponseStart(controller, status, headers, statusText);
  }

  override onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#connection.framingLimit?.recordBody(chunk.length);
    super.onResponseData(controller, chunk);
  }

  override onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    this.#connection.framingLimit?.reset();
    const reset = findResetError(this.#framing, this.#connection.socket);
    if (reset === undefined) super.onResponseEnd(controller, trailers);
    else super.onResponseError(controller, reset);
  }
}
