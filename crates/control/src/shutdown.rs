//! The order of steps after SIGTERM. A pure state machine: `(time, observation) -> step`.
//!
//! 1. The process resigns its lease at once, so that another process can take the singleton role.
//! 2. If a learner can take its place in the view, it waits for a new lease holder, then asks to leave the view. It serves on
//!    until a view without it serves and holds everything that was acknowledged.
//! 3. It gives its last messages [`FLUSH_TIME`] to reach the other control processes, and ends.
//!
//! Each wait is bounded: the platform kills the process after `GraceS`, and a rolling restart must not be slower than the
//! start of a process. Without a replacement, step 2 is skipped.

use std::time::Duration;

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod shutdown_tests;

/// How long another process may take to acquire the lease after the resignation: a random delay of up to 75 ms, two round
/// trips and a sync, on a busy machine. A view change before that would leave the role vacant for the length of a lease.
const LEASE_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long leaving the view may take. A view change that transfers the last entries takes some 300 ms, and as long again
/// after a lost message.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Leaving takes at most this fraction of `GraceS`: one half.
const GRACE_DIVISOR: u32 = 2;
/// How long the last messages get to reach the other control processes.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// How far this process is on its way out of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// It is a member and has not asked to leave, or has no replacement.
    Staying,
    /// It has asked to leave.
    Leaving,
    /// The view serves without it, or it never was a member.
    Left,
}

/// What the shutdown depends on, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The membership of this process.
    pub membership: Membership,
    /// Whether a learner may take the place of this process.
    pub has_replacement: bool,
    /// Whether another process holds the lease, or this one did not hold it at SIGTERM.
    pub is_lease_transferred: bool,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Go on serving.
    Wait,
    /// Ask to leave the membership. Everything else goes on.
    RequestLeave,
    /// End now.
    End(ShutdownOutcome),
}

/// How this process left the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// The view serves without it.
    Left,
    /// It stays a member, since nobody could replace it.
    Stayed,
    /// It asked to leave, and that took too long.
    TimedOut,
}

impl ShutdownOutcome {
    /// Its `outcome` in the log.
    pub fn name(self) -> &'static str {
        match self {
            ShutdownOutcome::Left => "left",
            ShutdownOutcome::Stayed => "stayed",
            ShutdownOutcome::TimedOut => "timed_out",
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    TransferringLease,
    Leaving,
    Flushing { until: Duration, outcome: ShutdownOutcome },
}

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSequence {
    phase: Phase,
    lease_transfer_deadline: Duration,
    leave_deadline: Duration,
}

/// The longest that a shutdown takes, on a platform that kills after `grace`.
pub fn max_duration(grace: Duration) -> Duration {
    leave_timeout(grace) + FLUSH_TIME
}

fn leave_timeout(grace: Duration) -> Duration {
    LEAVE_TIMEOUT.min(grace / GRACE_DIVISOR)
}

impl ShutdownSequence {
    /// A shutdown that begins at `now`, with the lease resigned.
    pub fn begin(now: Duration, grace: Duration) -> ShutdownSequence {
        let leave_deadline = now + leave_timeout(grace);
        let lease_transfer_deadline = leave_deadline.min(now + LEASE_TRANSFER_TIMEOUT);
        ShutdownSequence { phase: Phase::TransferringLease, lease_transfer_deadline, leave_deadline }
    }

    /// Advances by what is observed at `now`; call it with every tick.
    pub fn step(&mut self, now: Duration, observed: &Observation) -> Step {
        match self.phase {
            Phase::TransferringLease => self.await_lease_transfer(now, observed),
            Phase::Leaving => self.await_departure(now, observed),
            Phase::Flushing { until, outcome } if now >= until => Step::End(outcome),
            Phase::Flushing { .. } => Step::Wait,
        }
    }

    fn await_lease_transfer(&mut self, now: Duration, observed: &Observation) -> Step {
        if observed.membership == Membership::Left {
            return self.flush(now, ShutdownOutcome::Left);
        }
        if !observed.has_replacement {
            return self.flush(now, ShutdownOutcome::Stayed);
        }
        if !observed.is_lease_transferred && now < self.lease_transfer_deadline {
            return Step::Wait;
        }
        self.phase = Phase::Leaving;
        Step::RequestLeave
    }

    fn await_departure(&mut self, now: Duration, observed: &Observation) -> Step {
        match observed.membership {
            Membership::Left => self.flush(now, ShutdownOutcome::Left),
            Membership::Staying => self.flush(now, ShutdownOutcome::Stayed),
            Membership::Leaving if now >= self.leave_deadline => self.flush(now, ShutdownOutcome::TimedOut),
            Membership::Leaving => Step::Wait,
        }
    }

    fn flush(&mut self, now: Duration, outcome: ShutdownOutcome) -> Step {
        self.phase = Phase::Flushing { until: now + FLUSH_TIME, outcome };
        Step::Wait
    }
}
