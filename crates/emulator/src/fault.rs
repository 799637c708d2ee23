//! What goes wrong at a server, as a test wants it.

use crate::names;
use crate::wire::Request;

/// What happens to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is reset when the request has been read; it does not run.
    ResetBeforeExecution,
    /// The request runs to its end; the connection is reset in place of a response.
    DropResponse,
    /// The response goes out whole; then the connection is reset.
    ResetAfterResponse,
    /// So many events go out whole, then half of the next.
    TruncateStream {
        /// Events that go out.
        after_events: usize,
        /// Whether the connection ends by a reset.
        reset: bool,
    },
    /// Another response, with another id, follows the whole one on the same connection.
    SurplusResponse,
    /// The response carries the id of another request.
    WrongRequestId,
    /// Bytes that are no response come instead of one; the request does not run.
    Garbage,
    /// The request is read and never answered; it does not run.
    Hang,
    /// 503 with `Not-Executed`.
    Reject,
}

/// Which requests a rule is for; a field that is not set fits all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matcher {
    /// The id of the client's try.
    pub request_id: Option<String>,
    /// The beginning of the path.
    pub path_prefix: Option<String>,
    /// `Some(true)`: only reads of a prompt; `Some(false)`: all others.
    pub prefill: Option<bool>,
}

impl Matcher {
    /// Fits every request that has an id.
    pub fn any() -> Matcher {
        Matcher::default()
    }

    fn fits(&self, request: &Request) -> bool {
        let Some(id) = request.headers.get(names::REQUEST_ID) else {
            return false;
        };
        let is_prefill = request.headers.get(names::SERVING_STAGE).is_some();
        self.request_id.as_deref().is_none_or(|wanted| wanted == id)
            && self.path_prefix.as_deref().is_none_or(|prefix| request.target.starts_with(prefix))
            && self.prefill.is_none_or(|wanted| wanted == is_prefill)
    }
}

#[derive(Clone, Debug)]
struct Rule {
    matcher: Matcher,
    fault: Fault,
    left: usize,
}

/// The faults of one server, in order; the first rule that fits a request is used up by one.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    rules: Vec<Rule>,
}

impl FaultPlan {
    /// Adds a rule for the next `times` requests that fit.
    pub fn add(&mut self, matcher: Matcher, fault: Fault, times: usize) {
        self.rules.push(Rule { matcher, fault, left: times });
    }

    /// Forgets all rules.
    pub fn clear(&mut self) {
        self.rules.clear();
    }

    /// The fault for this request, if any.
    pub fn draw(&mut self, request: &Request) -> Option<Fault> {
        let rule = self.rules.iter_mut().find(|rule| rule.left > 0 && rule.matcher.fits(request))?;
        rule.left -= 1;
        Some(rule.fault.clone())
    }
}

/// Whether a server can be reached at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It serves.
    Serving,
    /// Connections come up, and nothing is read or written.
    Blackholed,
    /// Each connection is reset.
    Refusing,
    /// The process is gone: nothing listens, and open connections are reset.
    Down,
}
