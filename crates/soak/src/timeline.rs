//! Runs a schedule: injects its faults and recovers from them at the scheduled times, and observes the
//! processes in between.

use crate::checker::DrainedServer;
use crate::fault_injection::{ActiveFault, RecoveryProgress};
use crate::fleet::Fleet;
use crate::link_faults::apply_link_faults;
use crate::operators::Operators;
use crate::process_id::ProcessId;
use crate::process_monitor::ProcessMonitor;
use crate::schedule::Schedule;
use eyre::Result;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The interval between two observations of the processes.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(400);
/// The pause before the retry of a recovery that waits for the exit of a process.
const RECOVERY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long throttled processes run between two stops.
const THROTTLE_RUN_TIME: Duration = Duration::from_millis(40);
/// How long throttled processes are stopped at a time.
const THROTTLE_STOP_TIME: Duration = Duration::from_millis(60);

/// The record of a schedule that was run.
pub struct PlayedSchedule {
    /// The faults, with the actual times of injection and recovery.
    pub schedule: Schedule,
    /// The servers that were listed as draining.
    pub drained_servers: Vec<DrainedServer>,
}

/// The action of a step. A fault is identified by its index in the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Inject(usize),
    Recover(usize),
    /// Stops the processes that a fault throttles (SIGSTOP).
    Stop(usize),
    /// Continues the processes that a fault throttles (SIGCONT).
    Continue(usize),
    Observe,
}

/// An action, and the time at which it is due, since the start of the run.
#[derive(Clone, Copy, Debug)]
struct Step {
    due: Duration,
    action: Action,
}

/// A fault that is active: injected and not yet recovered from.
struct InjectedFault {
    index: usize,
    active: ActiveFault,
}

/// The state of a running schedule.
pub struct Timeline<'a> {
    fleet: &'a mut Fleet,
    operators: &'a Operators,
    monitor: &'a mut ProcessMonitor,
    /// The schedule to run. Its times are since the start of the run.
    schedule: Schedule,
    steps: Vec<Step>,
    injected: Vec<InjectedFault>,
    played: PlayedSchedule,
    /// The processes are observed until this time, even if no other step is left.
    observe_until: Duration,
}

impl<'a> Timeline<'a> {
    /// Prepares a schedule. Its start times must be since the start of the run.
    pub fn new(
        fleet: &'a mut Fleet, operators: &'a Operators, monitor: &'a mut ProcessMonitor, schedule: Schedule,
        fault_phase: Duration,
    ) -> Timeline<'a> {
        let starts = schedule.faults.iter().enumerate();
        let mut steps: Vec<Step> =
            starts.map(|(index, fault)| Step { due: fault.start, action: Action::Inject(index) }).collect();
        let now = fleet.environment.now();
        steps.push(Step { due: now + OBSERVE_INTERVAL, action: Action::Observe });
        let played = PlayedSchedule { schedule: schedule.clone(), drained_servers: Vec::new() };
        let (injected, observe_until) = (Vec::new(), now + fault_phase);
        Timeline { fleet, operators, monitor, schedule, steps, injected, played, observe_until }
    }

    /// Runs all steps.
    ///
    /// # Errors
    /// A fault cannot be injected or recovered from.
    pub async fn play(mut self) -> Result<PlayedSchedule> {
        while let Some(step) = self.take_next_step() {
            let remaining = step.due.saturating_sub(self.fleet.environment.now());
            sleep_until(Instant::now() + remaining).await;
            if !matches!(step.action, Action::Stop(_) | Action::Continue(_)) {
                self.continue_all_throttled()?;
            }
            match step.action {
                Action::Inject(index) => self.inject(index).await?,
                Action::Recover(index) => self.recover(index).await?,
                Action::Stop(index) => self.stop_throttled(index)?,
                Action::Continue(index) => self.continue_throttled(index)?,
                Action::Observe => self.observe().await,
            }
            apply_link_faults(self.fleet, self.injected.iter().map(|injected| &injected.active));
        }
        Ok(self.played)
    }

    /// Removes and returns the earliest step; of several steps at the same time, the first in the list.
    fn take_next_step(&mut self) -> Option<Step> {
        let (position, _) = self.steps.iter().enumerate().min_by_key(|(_, step)| step.due)?;
        Some(self.steps.swap_remove(position))
    }

    fn schedule_step(&mut self, delay: Duration, action: Action) {
        let due = self.fleet.environment.now() + delay;
        self.steps.push(Step { due, action });
    }

    async fn inject(&mut self, index: usize) -> Result<()> {
        let fault = &self.schedule.faults[index];
        let mut active = ActiveFault::select(self.fleet, fault);
        let injected_at = self.fleet.environment.now();
        if let Some(instance) = active.drained_instance(self.fleet) {
            self.played.drained_servers.push(DrainedServer { instance, since: injected_at });
        }
        self.played.schedule.faults[index].start = injected_at;
        active.inject(self.fleet, &self.operators.requests).await?;
        self.steps.push(Step { due: fault.end(), action: Action::Recover(index) });
        if !active.throttled().is_empty() {
            self.schedule_step(THROTTLE_RUN_TIME, Action::Stop(index));
        }
        self.injected.push(InjectedFault { index, active });
        Ok(())
    }

    async fn recover(&mut self, index: usize) -> Result<()> {
        let position = self.injected.iter().position(|injected| injected.index == index);
        let Some(position) = position else { return Ok(()) };
        let progress = self.injected[position].active.recover(self.fleet).await?;
        let played = &mut self.played.schedule.faults[index];
        played.duration = self.fleet.environment.now() - played.start;
        match progress {
            RecoveryProgress::Complete => drop(self.injected.swap_remove(position)),
            RecoveryProgress::Pending => {
                self.schedule_step(RECOVERY_RETRY_INTERVAL, Action::Recover(index));
            }
        }
        self.operators.addresses.send_replace(self.fleet.operator_addresses());
        Ok(())
    }

    fn stop_throttled(&mut self, index: usize) -> Result<()> {
        let Some(processes) = self.throttled_by(index) else { return Ok(()) };
        self.fleet.throttle(&processes)?;
        self.schedule_step(THROTTLE_STOP_TIME, Action::Continue(index));
        Ok(())
    }

    fn continue_throttled(&mut self, index: usize) -> Result<()> {
        let Some(processes) = self.throttled_by(index) else { return Ok(()) };
        self.fleet.release_throttle(&processes)?;
        self.schedule_step(THROTTLE_RUN_TIME, Action::Stop(index));
        Ok(())
    }

    /// Continues all throttled processes before a step that may take long, so that none is stopped for longer
    /// than [`THROTTLE_STOP_TIME`].
    fn continue_all_throttled(&mut self) -> Result<()> {
        for injected in &self.injected {
            self.fleet.release_throttle(injected.active.throttled())?;
        }
        Ok(())
    }

    /// The processes that a fault throttles; `None` if the fault is no longer active.
    fn throttled_by(&self, index: usize) -> Option<Vec<ProcessId>> {
        let injected = self.injected.iter().find(|injected| injected.index == index)?;
        Some(injected.active.throttled().to_vec())
    }

    async fn observe(&mut self) {
        self.monitor.observe(self.fleet).await;
        let has_more_steps = self.steps.iter().any(|step| step.action != Action::Observe);
        if has_more_steps || self.fleet.environment.now() < self.observe_until {
            self.schedule_step(OBSERVE_INTERVAL, Action::Observe);
        }
    }
}
