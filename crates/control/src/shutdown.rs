//! The order in which a control process ends after SIGTERM. A pure state machine: `(time, what is observed) -> step`.
//!
//! 1. It gives the singleton role up at once, so that another process can take it.
//! 2. If a process stands ready to take its place in the view, it waits for a successor in the role, then asks to be left
//!    out, and goes on serving until a view without it serves and holds all that was acknowledged.
//! 3. It leaves the others a moment to hear its last messages, and ends.
//!
//! Nothing of this is waited for without a bound: the platform kills after `GraceS`, and a rolling restart must not be
//! slower than the start of a process. Where nobody can take its place, step 2 is left out.

use std::time::Duration;

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod shutdown_tests;

/// The time for another process to take the role, from the resignation: a draw of up to 75 ms, two round trips and a
/// sync, on a machine that is busy. A change of the view before that would leave the role vacant for a lease.
const LEASE_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// The max_duration time until this process is left out: a view change with the transfer of the last entries takes some
/// 300 ms, and one more after a lost message.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The whole must stay below this part of `GraceS`.
const GRACE_DIVISOR: u32 = 2;
/// The time for the other control processes to hear that this one leaves.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// How far this process is on its way out of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// It is a member and has not asked to be left out, or nobody can take its place.
    Staying,
    /// It has asked to be left out.
    Leaving,
    /// The view serves without it, or it never was a member.
    Left,
}

/// What is observed at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The membership of this process.
    pub membership: Membership,
    /// Whether a process stands by that may take the place of this one.
    pub has_replacement: bool,
    /// Whether the role is in other hands, or was not in those of this process when it was told to end.
    pub is_lease_transferred: bool,
}

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Go on serving.
    Wait,
    /// Ask to be left out of the membership; nothing else changes.
    RequestLeave,
    /// End now.
    End(ShutdownOutcome),
}

/// How this process parted from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// The view serves without it.
    Left,
    /// It stays a member, since nobody could take its place.
    Stayed,
    /// It asked to be left out, and that took too long.
    TimedOut,
}

impl ShutdownOutcome {
    /// Its name in the log.
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

/// A shutdown under way.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSequence {
    phase: Phase,
    lease_transfer_deadline: Duration,
    leave_deadline: Duration,
}

/// The max_duration that a shutdown takes, for a platform that kills after `grace`.
pub fn max_duration(grace: Duration) -> Duration {
    leave_timeout(grace) + FLUSH_TIME
}

fn leave_timeout(grace: Duration) -> Duration {
    LEAVE_TIMEOUT.min(grace / GRACE_DIVISOR)
}

impl ShutdownSequence {
    /// A shutdown that begins now, with the role given up.
    pub fn begin(now: Duration, grace: Duration) -> ShutdownSequence {
        let leave_deadline = now + leave_timeout(grace);
        let lease_transfer_deadline = leave_deadline.min(now + LEASE_TRANSFER_TIMEOUT);
        ShutdownSequence { phase: Phase::TransferringLease, lease_transfer_deadline, leave_deadline }
    }

    /// Looks again; call it with every tick.
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
