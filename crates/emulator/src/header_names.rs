//! Header names and media types of the protocol, in lower case.

/// The id of an attempt of a client.
pub const REQUEST_ID: &str = "request-id";
/// How long the caller waits for the response, in ms; fractions are allowed.
pub const DEADLINE_MS: &str = "deadline-ms";
/// The named segments of a prompt, in order: `ID:TOKENS`, separated by commas.
pub const PROMPT_PREFIX: &str = "prompt-prefix";
/// The id of the last event that the caller received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The stamp that a server puts on its responses, see [`crate::stamp`].
pub const SERVER_STAMP: &str = "server-stamp";
/// The id of the server instance that a request is meant for.
pub const EXPECT_INSTANCE: &str = "expect-instance";
/// The version of the model weights that a request is meant for.
pub const EXPECT_VERSION: &str = "expect-version";
/// The numbers of running requests, waiting requests and slots of a server, separated by commas.
pub const LOAD_REPORT: &str = "load-report";
/// Present if the server did not execute the request and never will.
pub const NOT_EXECUTED: &str = "not-executed";
/// How long the caller should wait before a retry, in s; fractions are allowed.
pub const RETRY_AFTER: &str = "retry-after";
/// The version of the configuration that a change is based on.
pub const IF_MATCH: &str = "if-match";
/// The id of a server instance. A restarted server has another id.
pub const INSTANCE_ID: &str = "instance-id";
/// The model of a generation.
pub const MODEL: &str = "model";
/// The number of prompt tokens and the maximum number of output tokens, separated by a comma.
pub const TOKEN_COUNTS: &str = "token-counts";
/// `prefill` if only the prefill stage of a generation is requested.
pub const SERVING_STAGE: &str = "serving-stage";
/// Where to fetch the KV cache of the prompt: `IP:PORT/HANDLE`.
pub const KV_FROM: &str = "kv-from";
/// The priority of a request at a server, from 0 (highest) to 9.
pub const PRIORITY: &str = "priority";
/// The version of the model weights that produced a response.
pub const VERSIONS: &str = "versions";
/// The host of the request.
pub const HOST: &str = "host";
/// `close` if the connection is closed after the message.
pub const CONNECTION: &str = "connection";
/// The timeout of idle connections, as `timeout=SECONDS`.
pub const KEEP_ALIVE: &str = "keep-alive";
/// The length of a body in bytes.
pub const CONTENT_LENGTH: &str = "content-length";
/// The media type of a body.
pub const CONTENT_TYPE: &str = "content-type";
/// The content coding of a body.
pub const CONTENT_ENCODING: &str = "content-encoding";
/// The transfer coding of a body.
pub const TRANSFER_ENCODING: &str = "transfer-encoding";
/// The target of a redirect.
pub const LOCATION: &str = "location";

/// The media type of JSON.
pub const JSON: &str = "application/json";
/// The media type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
