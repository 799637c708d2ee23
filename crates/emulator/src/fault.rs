//! Faults of a server, planned by a test.

use crate::header_names;
use crate::wire::Request;

/// A fault in the handling of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is reset when the request has been read; it is not executed.
    ResetBeforeExecution,
    /// The request is executed to its end; then the connection is reset in place of a response.
    DropResponse,
    /// The connection is reset after the complete response.
    ResetAfterResponse,
    /// A stream ends inside an event.
    TruncateStream {
        /// Events that are sent completely before.
        after_events: usize,
        /// Whether the connection is reset rather than closed.
        reset: bool,
    },
    /// A response with a foreign request id follows the complete one on the same connection.
    SurplusResponse,
    /// The response carries a foreign request id.
    WrongRequestId,
    /// Bytes that are no response are sent in place of one; the request is not executed.
    Garbage,
    /// The request is read and never answered; it is not executed.
    Hang,
    /// The request is rejected: 503 with `Not-Executed`.
    Reject,
}

/// Which requests a fault is for; a field that is not set matches all. Requests without an id never match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMatcher {
    /// The id of the client's attempt.
    pub request_id: Option<String>,
    /// The prefix of path and query.
    pub path_prefix: Option<String>,
    /// `Some(true)`: only prefill requests; `Some(false)`: all others.
    pub prefill: Option<bool>,
}

impl RequestMatcher {
    /// Matches every request that has an id.
    pub fn any() -> RequestMatcher {
        RequestMatcher::default()
    }

    fn matches(&self, request: &Request) -> bool {
        let Some(id) = request.headers.get(header_names::REQUEST_ID) else {
            return false;
        };
        let is_prefill = request.headers.get(header_names::SERVING_STAGE).is_some();
        self.request_id.as_deref().is_none_or(|wanted| wanted == id)
            && self.path_prefix.as_deref().is_none_or(|prefix| request.target.starts_with(prefix))
            && self.prefill.is_none_or(|wanted| wanted == is_prefill)
    }
}

#[derive(Clone, Debug)]
struct Rule {
    matcher: RequestMatcher,
    fault: Fault,
    remaining: usize,
}

/// The planned faults of one server, in order: a request draws the first one that matches.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    rules: Vec<Rule>,
}

impl FaultPlan {
    /// Plans a fault for the next `times` requests that match.
    pub fn add(&mut self, matcher: RequestMatcher, fault: Fault, times: usize) {
        self.rules.push(Rule { matcher, fault, remaining: times });
    }

    /// Drops all planned faults.
    pub fn clear(&mut self) {
        self.rules.clear();
    }

    /// Draws the fault of a request, if any.
    pub fn draw(&mut self, request: &Request) -> Option<Fault> {
        let rule = self.rules.iter_mut().find(|rule| rule.remaining > 0 && rule.matcher.matches(request))?;
        rule.remaining -= 1;
        Some(rule.fault.clone())
    }
}

/// Whether and how a server can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It serves.
    Serving,
    /// Connections are accepted, and nothing is read or written.
    Blackholed,
    /// Each connection is reset.
    Refusing,
    /// The process is gone: nothing listens, and open connections are reset.
    Down,
}
