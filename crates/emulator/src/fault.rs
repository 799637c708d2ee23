//! Faults that a test plans for a server.

use crate::header_names;
use crate::wire::Request;

/// A fault in the handling of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is reset after the request is read. The request is not executed.
    ResetBeforeExecution,
    /// The request is executed to its end, then the connection is reset without a response.
    DropResponse,
    /// The connection is reset after the complete response.
    ResetAfterResponse,
    /// A stream ends inside an event.
    TruncateStream {
        /// The number of complete events before the truncated one.
        after_events: usize,
        /// Whether the connection is reset; otherwise it is closed.
        reset: bool,
    },
    /// The complete response is followed, on the same connection, by a second response with a request id that
    /// no client sent.
    SurplusResponse,
    /// The response carries a request id that no client sent.
    WrongRequestId,
    /// Bytes that are not an HTTP response are sent. The request is not executed.
    Garbage,
    /// The request is read and never answered. The request is not executed.
    Hang,
    /// The request is rejected with status 503 and `Not-Executed`.
    Reject,
}

/// Selects the requests that a fault applies to. A field that is `None` matches all requests. A request
/// without an id never matches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMatcher {
    /// The id of the client's attempt.
    pub request_id: Option<String>,
    /// A prefix of the path and query.
    pub path_prefix: Option<String>,
    /// `Some(true)` matches only prefill requests, `Some(false)` only other requests.
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
        self.request_id.as_deref().is_none_or(|expected| expected == id)
            && self.path_prefix.as_deref().is_none_or(|prefix| request.target.starts_with(prefix))
            && self.prefill.is_none_or(|expected| expected == is_prefill)
    }
}

/// A fault for the next `remaining` requests that match.
#[derive(Clone, Debug)]
struct Rule {
    matcher: RequestMatcher,
    fault: Fault,
    remaining: usize,
}

/// The planned faults of one server, in order. Each request gets the first fault whose matcher selects the
/// request.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    rules: Vec<Rule>,
}

impl FaultPlan {
    /// Plans a fault for the next `times` requests that `matcher` selects.
    pub fn add(&mut self, matcher: RequestMatcher, fault: Fault, times: usize) {
        self.rules.push(Rule { matcher, fault, remaining: times });
    }

    /// Removes all planned faults.
    pub fn clear(&mut self) {
        self.rules.clear();
    }

    /// Takes the fault that is planned for a request, if any.
    pub fn take(&mut self, request: &Request) -> Option<Fault> {
        let rule = self.rules.iter_mut().find(|rule| rule.remaining > 0 && rule.matcher.matches(request))?;
        rule.remaining -= 1;
        Some(rule.fault.clone())
    }
}

/// Whether and how a server or the platform can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The server serves normally.
    Serving,
    /// Connections are accepted, and nothing is read or written.
    Blackholed,
    /// Each connection is reset.
    Refusing,
    /// The process has ended: nothing listens, and open connections are reset.
    Down,
}
