//! Gets an answer from one server, which does all of a request.

use crate::answer::Refusal;
use crate::flight::Flight;
use crate::job::{Ask, Job, Sent};
use crate::upstream::{Answered, Extra};
use crate::verdict::{Verdict, judge};
use lugwharf_routing::{FailureKind, LoadReport, Phase, Selection};
use std::time::Duration;

/// An answer for the client, whose body is still to come.
pub struct Taken {
    /// The answer.
    pub answered: Box<Answered>,
    /// Its send.
    pub flight: Flight,
    /// What it is worth.
    pub verdict: Verdict,
}

/// Sends the request until a server gives an answer for the client.
pub async fn obtain(job: &mut Job<'_>, extra: &Extra) -> Result<Taken, Refusal> {
    loop {
        let choice = next_server(job)?;
        let sent = job.send(&choice, Phase::Full, extra, job.by).await;
        job.tried.push(choice.key);
        if let Some(taken) = take(job, &choice, sent)? {
            return Ok(taken);
        }
    }
}

fn next_server(job: &mut Job<'_>) -> Result<Selection, Refusal> {
    if !job.attempts.may_execute() || !job.may_try() {
        return Err(job.give_up(Refusal::Full));
    }
    let ask = Ask { part: Phase::Full, zone: &job.shared.zone, excluded: &job.tried };
    let choice = job.choose(&ask).map_err(|none| job.give_up(refusal(job, none.into())))?;
    if job.is_hopeless(&choice) && job.attempts.is_unexecuted() {
        return Err(Refusal::Full);
    }
    if !job.may_arrive() {
        return Err(job.give_up(Refusal::Full));
    }
    Ok(choice)
}

/// Where servers were there and all turned the request away, they are full.
fn refusal(job: &Job<'_>, none: Refusal) -> Refusal {
    if job.attempts.was_attempted() { Refusal::Full } else { none }
}

/// What a send that may run the request has brought: an answer for the client, or `None` if another server may be asked.
pub fn take(job: &mut Job<'_>, choice: &Selection, sent: Sent) -> Result<Option<Taken>, Refusal> {
    match sent {
        Sent::Unsent => Ok(None),
        Sent::Late => Err(job.give_up(Refusal::Unserved)),
        Sent::Broken => {
            job.attempts.record_execution();
            Ok(None)
        }
        Sent::TimedOut => {
            job.attempts.record_execution();
            Err(Refusal::Deadline)
        }
        Sent::Answered(answered, flight) => Ok(weigh(job, choice, answered, flight)),
    }
}

fn weigh(
    job: &mut Job<'_>, choice: &Selection, answered: Box<Answered>, mut flight: Flight,
) -> Option<Taken> {
    let verdict = judge(&answered.head);
    match verdict {
        Verdict::Success => job.attempts.record_execution(),
        Verdict::Invalid => flight.void(),
        Verdict::Failure => {
            job.attempts.record_execution();
            if answered.head.status >= 500 {
                flight.failed(FailureKind::ServerError);
            } else {
                flight.void();
            }
            // What the request itself brought about would come again.
            let is_servers = answered.head.status >= 500;
            if is_servers && job.attempts.may_execute() && job.may_arrive() {
                return None;
            }
        }
        Verdict::Rejected => {
            job.attempts.record_rejection();
            job.was_full = full_by_own_word(&answered);
            flight.rejected();
            answered.discard(job.shared);
            return None;
        }
        Verdict::Misdirected => {
            job.attempts.record_rejection();
            flight.void();
            job.misdirected(choice);
            answered.discard(job.shared);
            return None;
        }
        Verdict::Spoilt => {
            job.attempts.record_execution();
            flight.failed(FailureKind::ConnectionBroken);
            return None;
        }
    }
    Some(Taken { answered, flight, verdict })
}

fn full_by_own_word(answered: &Answered) -> Option<bool> {
    let report = answered.head.headers.get_text("load-report")?;
    LoadReport::parse(report, Duration::ZERO).map(|report| report.is_saturated())
}
