//! The operator: a client that changes and reads configurations at any control address. After an attempt
//! without a final response, it tries the next address.

use crate::header_names;
use crate::wire::{Connection, Request, Response, WireError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The maximum number of redirects that one attempt follows.
const MAX_REDIRECTS: usize = 2;
/// The timeout of a request without a body. Each redirect that is followed starts a new timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time that each byte of the body adds to the timeout, in ms.
const TIMEOUT_MS_PER_BYTE: f64 = 0.001;
/// The backoff before the second attempt. It doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// The maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The number of 4xx responses, other than refusals (400, 409, 412, 413, 422) and requests to retry (408,
/// 429), after which a call ends.
const MAX_OTHER_4XX: usize = 3;

/// Why an attempt has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened or failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// No response within the timeout.
    #[error("no response within the timeout")]
    Timeout,
    /// A redirect without a valid location, or more redirects than are followed.
    #[error("redirect without a valid Location header, or more than 2 redirects")]
    BadRedirect,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A 2xx response.
    Acknowledged(Response),
    /// A final 4xx response.
    Refused(Response),
    /// No final response in any attempt. A change may have been applied or not.
    Unknown,
}

impl CallOutcome {
    /// The status of the final response; `None` if there was none.
    pub fn status(&self) -> Option<u16> {
        match self {
            CallOutcome::Acknowledged(response) | CallOutcome::Refused(response) => Some(response.status),
            CallOutcome::Unknown => None,
        }
    }

    /// The body of the final response; empty if there was none.
    pub fn body(&self) -> &[u8] {
        match self {
            CallOutcome::Acknowledged(response) | CallOutcome::Refused(response) => &response.body,
            CallOutcome::Unknown => &[],
        }
    }
}

/// An operator with a list of control addresses.
#[derive(Clone, Debug)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    /// The maximum number of attempts of one call. Default 24.
    pub max_attempts: usize,
}

impl Operator {
    /// An operator that tries these control addresses in turn.
    pub fn new(addresses: Vec<SocketAddr>) -> Operator {
        Operator { addresses, max_attempts: 24 }
    }

    /// Sends a configuration that replaces version `base`. Repeats the request until there is a final
    /// response, in at most [`Operator::max_attempts`] attempts.
    pub async fn put(&self, body: &[u8], base: u64) -> CallOutcome {
        self.call(&change_request("PUT", body, base)).await
    }

    /// Sends a patch of named items to version `base`. Repeats the request until there is a final response,
    /// in at most [`Operator::max_attempts`] attempts.
    pub async fn patch(&self, body: &[u8], base: u64) -> CallOutcome {
        self.call(&change_request("PATCH", body, base)).await
    }

    /// Reads the newest configuration.
    pub async fn get(&self) -> CallOutcome {
        self.call(&Request::new("GET", "/config")).await
    }

    async fn call(&self, request: &Request) -> CallOutcome {
        let mut backoff = INITIAL_BACKOFF;
        let mut other_4xx_responses = 0;
        for address in self.addresses.iter().cycle().take(self.max_attempts) {
            if let Ok(response) = call_once(*address, request).await {
                match response.status {
                    200..=299 => return CallOutcome::Acknowledged(response),
                    400 | 409 | 412 | 413 | 422 => return CallOutcome::Refused(response),
                    408 | 429 => {}
                    400..=499 => {
                        other_4xx_responses += 1;
                        if other_4xx_responses >= MAX_OTHER_4XX {
                            return CallOutcome::Refused(response);
                        }
                    }
                    _ => {}
                }
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        CallOutcome::Unknown
    }
}

fn change_request(method: &str, body: &[u8], base: u64) -> Request {
    let mut request = Request::new(method, "/config");
    request.headers.push(header_names::IF_MATCH, base.to_string());
    request.headers.push(header_names::CONTENT_TYPE, header_names::JSON);
    request.body = body.to_vec();
    request
}

/// Makes one attempt at one address and follows redirects.
pub async fn call_once(address: SocketAddr, request: &Request) -> Result<Response, CallError> {
    call_with_redirects(address, request).await.result
}

/// The result of an attempt that follows redirects.
#[derive(Debug)]
pub struct RedirectedCall {
    /// The address that was called last: the target of the last redirect, or the original address.
    pub final_address: SocketAddr,
    /// The response of that address, or the error.
    pub result: Result<Response, CallError>,
}

/// Makes one attempt at one address, follows redirects and returns the final address too.
pub async fn call_with_redirects(address: SocketAddr, request: &Request) -> RedirectedCall {
    let mut final_address = address;
    let result = follow_redirects(&mut final_address, request.clone()).await;
    RedirectedCall { final_address, result }
}

async fn follow_redirects(address: &mut SocketAddr, mut request: Request) -> Result<Response, CallError> {
    for _ in 0..=MAX_REDIRECTS {
        request.headers.set(header_names::HOST, address.to_string());
        let response = exchange(*address, &request).await?;
        if response.status != 307 {
            return Ok(response);
        }
        let location = response.headers.get(header_names::LOCATION).and_then(parse_location);
        let (next, target) = location.ok_or(CallError::BadRedirect)?;
        *address = next;
        request.target = target;
    }
    Err(CallError::BadRedirect)
}

async fn exchange(address: SocketAddr, request: &Request) -> Result<Response, CallError> {
    let response_timeout = RESPONSE_TIMEOUT
        + crate::server_core::duration_from_ms(request.body.len() as f64 * TIMEOUT_MS_PER_BYTE);
    let call = async {
        let mut connection = Connection::open(address).await.map_err(WireError::from)?;
        connection.write(&request.encode()).await.map_err(WireError::from)?;
        connection.read_response().await
    };
    match timeout(response_timeout, call).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(CallError::Timeout),
    }
}

/// Parses `http://IP:PORT/PATH`.
fn parse_location(text: &str) -> Option<(SocketAddr, String)> {
    let rest = text.strip_prefix("http://")?;
    let (authority, path) = rest.split_once('/').unwrap_or((rest, ""));
    Some((authority.parse().ok()?, format!("/{path}")))
}
