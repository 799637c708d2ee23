//! The shutdown sequence after SIGTERM, as a pure state machine: `(time, observation) -> step`.
//!
//! 1. The process resigns its lease immediately, so that another process can take the singleton role.
//! 2. If a learner can replace it in the view, the process waits for a new lease holder, then requests to
//!    leave the view. It continues to serve until a view without it serves and holds everything that was
//!    acknowledged.
//! 3. The process waits [`FLUSH_TIME`] for its last messages to reach the other control processes, then ends.
//!
//! Each wait is bounded: the platform kills the process after `GraceS`, and a rolling restart must not be
//! slower than the start of a process. Step 2 is skipped if there is no replacement.

use std::time::Duration;

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod shutdown_tests;

/// The timeout for another process to acquire the lease after the resignation. That takes a random delay of
/// up to 75 ms, two round trips and a disk sync, on a busy machine. A view change before the transfer would
/// leave the role vacant for the duration of a lease.
const LEASE_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for leaving the view. A view change that transfers the last entries takes about 300 ms, and
/// about 300 ms more after a lost message.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Leaving may take at most `GraceS` divided by this number.
const GRACE_DIVISOR: u32 = 2;
/// The time in which the last messages can reach the other control processes.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// The membership state of this process during a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// This process is a member and has not requested to leave, or has no replacement.
    Staying,
    /// This process has requested to leave.
    Leaving,
    /// The view serves without this process, or it never was a member.
    Left,
}

/// The state that the shutdown sequence depends on, observed at one time.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The membership of this process.
    pub membership: Membership,
    /// Whether a learner may replace this process.
    pub has_replacement: bool,
    /// Whether another process holds the lease, or this process did not hold it at SIGTERM.
    pub is_lease_transferred: bool,
}

/// The next step of the shutdown sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Continue to serve.
    Wait,
    /// Request to leave the membership, and otherwise continue to serve.
    RequestLeave,
    /// End the process.
    End(ShutdownOutcome),
}

/// The outcome of the shutdown sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// The view serves without this process.
    Left,
    /// This process stays a member because no other process could replace it.
    Stayed,
    /// This process requested to leave, but leaving timed out.
    TimedOut,
}

impl ShutdownOutcome {
    /// Returns the `outcome` in log lines.
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

/// Returns the maximum duration of a shutdown on a platform that kills the process after `grace`.
pub fn max_duration(grace: Duration) -> Duration {
    leave_timeout(grace) + FLUSH_TIME
}

fn leave_timeout(grace: Duration) -> Duration {
    LEAVE_TIMEOUT.min(grace / GRACE_DIVISOR)
}

impl ShutdownSequence {
    /// Starts a shutdown sequence at `now`. The caller has already resigned the lease.
    pub fn begin(now: Duration, grace: Duration) -> ShutdownSequence {
        let leave_deadline = now + leave_timeout(grace);
        let lease_transfer_deadline = leave_deadline.min(now + LEASE_TRANSFER_TIMEOUT);
        ShutdownSequence { phase: Phase::TransferringLease, lease_transfer_deadline, leave_deadline }
    }

    /// Advances the sequence by the state observed at `now`, and returns the next step. Call this with every
    /// tick.
    pub fn step(&mut self, now: Duration, observed: &Observation) -> Step {
        match self.phase {
            Phase::TransferringLease => self.await_lease_transfer(now, observed),
            Phase::Leaving => self.await_leave(now, observed),
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

    fn await_leave(&mut self, now: Duration, observed: &Observation) -> Step {
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
