//! The operator: puts and reads configurations at any sidecar that serves control, and moves on when one fails.

use crate::names;
use crate::wire::{Answer, Connection, Request, WireError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Redirects that are followed in one call.
const MOST_REDIRECTS: usize = 2;
/// An answer is awaited for so long.
const PATIENCE: Duration = Duration::from_secs(1);
/// A byte of a large body adds this to the patience, in ms.
const PATIENCE_MS_PER_BYTE: f64 = 0.001;
/// The pause before the second try; it grows with each.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Any other 4xx ends a call at this try.
const TRIES_WITH_4XX: usize = 3;

/// Why one try gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection, or one that broke.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Silence.
    #[error("no answer in time")]
    Silence,
    /// A redirect that leads nowhere.
    #[error("a redirect without a usable location")]
    BadRedirect,
}

/// How a call of the operator ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// 200.
    Acknowledged(Answer),
    /// A clear refusal.
    Refused(Answer),
    /// No clear answer in all tries; it may be in force or not.
    Unclear,
}

impl Verdict {
    /// The status, if there was a clear answer.
    pub fn status(&self) -> Option<u16> {
        match self {
            Verdict::Acknowledged(answer) | Verdict::Refused(answer) => Some(answer.status),
            Verdict::Unclear => None,
        }
    }

    /// The body, if there was a clear answer.
    pub fn body(&self) -> &[u8] {
        match self {
            Verdict::Acknowledged(answer) | Verdict::Refused(answer) => &answer.body,
            Verdict::Unclear => &[],
        }
    }
}

/// The operator with its list of control addresses.
#[derive(Clone, Debug)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    /// Tries in one call.
    pub tries: usize,
}

impl Operator {
    /// An operator that knows these addresses and picks them in turn.
    pub fn new(addresses: Vec<SocketAddr>) -> Operator {
        Operator { addresses, tries: 24 }
    }

    /// Sends a configuration on top of `base` until there is a clear answer.
    pub async fn put(&self, body: &[u8], base: u64) -> Verdict {
        self.call(&change("PUT", body, base)).await
    }

    /// Sends a change of named items on top of `base` until there is a clear answer.
    pub async fn patch(&self, body: &[u8], base: u64) -> Verdict {
        self.call(&change("PATCH", body, base)).await
    }

    /// Reads the newest configuration.
    pub async fn get(&self) -> Verdict {
        self.call(&Request::new("GET", "/config")).await
    }

    async fn call(&self, request: &Request) -> Verdict {
        let mut pause = FIRST_PAUSE;
        let mut other_refusals = 0;
        for address in self.addresses.iter().cycle().take(self.tries) {
            if let Ok(answer) = call_once(*address, request).await {
                match answer.status {
                    200..=299 => return Verdict::Acknowledged(answer),
                    400 | 409 | 412 | 413 | 422 => return Verdict::Refused(answer),
                    408 | 429 => {}
                    400..=499 => {
                        other_refusals += 1;
                        if other_refusals >= TRIES_WITH_4XX {
                            return Verdict::Refused(answer);
                        }
                    }
                    _ => {}
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        Verdict::Unclear
    }
}

fn change(method: &str, body: &[u8], base: u64) -> Request {
    let mut request = Request::new(method, "/config");
    request.headers.push(names::IF_MATCH, base.to_string());
    request.headers.push(names::CONTENT_TYPE, names::JSON);
    request.body = body.to_vec();
    request
}

/// One try at one sidecar, with its redirects.
pub async fn call_once(address: SocketAddr, request: &Request) -> Result<Answer, CallError> {
    let mut address = address;
    let mut request = request.clone();
    for _ in 0..=MOST_REDIRECTS {
        request.headers.set(names::HOST, address.to_string());
        let answer = exchange(address, &request).await?;
        if answer.status != 307 {
            return Ok(answer);
        }
        let location = answer.headers.get(names::LOCATION).and_then(parse_location);
        let (next, target) = location.ok_or(CallError::BadRedirect)?;
        address = next;
        request.target = target;
    }
    Err(CallError::BadRedirect)
}

async fn exchange(address: SocketAddr, request: &Request) -> Result<Answer, CallError> {
    let patience = PATIENCE + crate::core::millis(request.body.len() as f64 * PATIENCE_MS_PER_BYTE);
    let call = async {
        let mut connection = Connection::open(address).await.map_err(WireError::from)?;
        connection.write(&request.encode()).await.map_err(WireError::from)?;
        connection.read_answer().await
    };
    match timeout(patience, call).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(CallError::Silence),
    }
}

/// Reads `http://IP:PORT/PATH`.
fn parse_location(text: &str) -> Option<(SocketAddr, String)> {
    let rest = text.strip_prefix("http://")?;
    let (authority, path) = rest.split_once('/').unwrap_or((rest, ""));
    Some((authority.parse().ok()?, format!("/{path}")))
}
