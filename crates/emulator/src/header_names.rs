//! Header names and media types of the protocol, in lower case.

/// The id of an attempt of a client.
pub const REQUEST_ID: &str = "request-id";
/// How long the caller waits, in ms; fractions are allowed.
pub const DEADLINE_MS: &str = "deadline-ms";
/// The named segments of a prompt in order, as `ID:TOKENS` separated by commas.
pub const PROMPT_PREFIX: &str = "prompt-prefix";
/// The id of the last event that the caller has received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The stamp of a server on its responses, see [`crate::stamp`].
pub const SERVER_STAMP: &str = "server-stamp";
/// The incarnation that a request is meant for.
pub const EXPECT_INSTANCE: &str = "expect-instance";
/// The version of the weights that a request is meant for.
pub const EXPECT_VERSION: &str = "expect-version";
/// Running requests, waiting requests and slots, separated by commas.
pub const LOAD_REPORT: &str = "load-report";
/// Promises that the server did not execute the request and never will.
pub const NOT_EXECUTED: &str = "not-executed";
/// Seconds after which the caller may retry; fractions are allowed.
pub const RETRY_AFTER: &str = "retry-after";
/// The version of the configuration that a change builds on.
pub const IF_MATCH: &str = "if-match";
/// The incarnation of a server.
pub const INSTANCE_ID: &str = "instance-id";
/// The model of a generation.
pub const MODEL: &str = "model";
/// Tokens of the prompt, and the maximum of the output, separated by a comma.
pub const TOKEN_COUNTS: &str = "token-counts";
/// Asks for one stage of a generation only: `prefill`.
pub const SERVING_STAGE: &str = "serving-stage";
/// Where to fetch the KV cache of a prompt: `IP:PORT/HANDLE`.
pub const KV_FROM: &str = "kv-from";
/// The priority of a request at a server, from 0 (most urgent) to 9.
pub const PRIORITY: &str = "priority";
/// The version of the weights that made a response.
pub const VERSIONS: &str = "versions";
/// The host that a request is for.
pub const HOST: &str = "host";
/// Whether the connection is closed after the message.
pub const CONNECTION: &str = "connection";
/// The timeout of idle connections.
pub const KEEP_ALIVE: &str = "keep-alive";
/// The length of a body in bytes.
pub const CONTENT_LENGTH: &str = "content-length";
/// The type of a body.
pub const CONTENT_TYPE: &str = "content-type";
/// The encoding of a body.
pub const CONTENT_ENCODING: &str = "content-encoding";
/// The framing of a body.
pub const TRANSFER_ENCODING: &str = "transfer-encoding";
/// The target of a redirect.
pub const LOCATION: &str = "location";

/// The media type of JSON.
pub const JSON: &str = "application/json";
/// The media type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
