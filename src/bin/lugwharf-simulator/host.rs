//! The balancers of all instances, one for each sidecar that the simulator runs.

use crate::wire::{Batch, DiscoveryUpdate, ListKind, MAX_LISTS, Record, Reply, WireError};
use lugwharf_sidecar::api::{Action, Event, ServerEntry, ServerListEvent};
use lugwharf_sidecar::settings_text::SettingError;
use lugwharf_sidecar::{Balancer, settings_text};
use std::collections::HashMap;
use std::io;

/// The errors that end the adapter.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("instance {0}: {1}")]
    Settings(u32, SettingError),
    #[error("list {0} was never declared")]
    UndeclaredList(u32),
    #[error("writing a reply failed: {0}")]
    Output(io::Error),
}

/// A running instance.
struct Instance {
    balancer: Balancer,
    /// The index of that value of a load report which the decision module uses; `None` if there are no
    /// reports.
    load_field_index: Option<usize>,
}

/// All running instances, and the server lists that were declared.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u32, Instance>,
    lists: [Option<Vec<ServerEntry>>; MAX_LISTS as usize],
    /// The buffer for the actions of one event, kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the records of a batch in order, and adds the actions of all instances to the reply. A record
    /// with an unknown code, or an event for an instance that is not running, is skipped with a line on
    /// standard error.
    pub fn handle(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), HostError> {
        for record in batch.records() {
            let Some((number, event)) = self.handle_record(record?)? else { continue };
            let Some(instance) = self.instances.get_mut(&number) else {
                eprintln!("lugwharf-simulator: skipped an event for instance {number}, which is not up");
                continue;
            };
            instance.balancer.handle(batch.now, event, &mut self.actions);
            self.actions.drain(..).for_each(|action| reply.push(number, &action));
        }
        Ok(())
    }

    /// Returns the event of a record and the number of its instance. A record without an event is handled
    /// here.
    fn handle_record(&mut self, record: Record) -> Result<Option<(u32, Event)>, HostError> {
        match record {
            Record::Start { instance, seed, settings } => self.start(instance, seed, settings)?,
            Record::Kill { instance } => {
                self.instances.remove(&instance);
            }
            Record::DeclareList { number, entries } => self.lists[number as usize] = Some(entries),
            Record::Discovery { instance, update } => {
                return Ok(Some((instance, Event::ServerList(self.server_list(update)?))));
            }
            Record::Event { instance, event } => return Ok(Some((instance, event))),
            Record::ProbeCompleted { instance, server, outcome, load_values } => {
                let index = self.instances.get(&instance).and_then(|instance| instance.load_field_index);
                let load = index.and_then(|index| load_values.get(index).copied());
                let reported_load = load.filter(|load| load.is_finite());
                return Ok(Some((instance, Event::ProbeCompleted { server, outcome, reported_load })));
            }
            Record::Ignored => {}
            Record::Unknown(code) => {
                eprintln!("lugwharf-simulator: skipped an event of unknown code {code}");
            }
        }
        Ok(None)
    }

    /// Starts an instance, in place of any with the same number.
    fn start(&mut self, number: u32, seed: u64, text: &str) -> Result<(), HostError> {
        let settings = settings_text::parse(text).map_err(|error| HostError::Settings(number, error))?;
        let instance = Instance {
            balancer: Balancer::new(settings, seed),
            load_field_index: settings_text::load_field_index(text),
        };
        self.instances.insert(number, instance);
        Ok(())
    }

    /// Returns the event of an answer of discovery.
    fn server_list(&self, update: DiscoveryUpdate) -> Result<ServerListEvent, HostError> {
        let DiscoveryUpdate::List { kind, number } = update else { return Ok(ServerListEvent::Failed) };
        let list = self.lists.get(number as usize).and_then(Option::as_ref);
        let entries = list.cloned().ok_or(HostError::UndeclaredList(number))?;
        Ok(match kind {
            ListKind::Full => ServerListEvent::Full(entries),
            ListKind::Delta => ServerListEvent::Delta(entries),
            ListKind::Cached => ServerListEvent::Cached(entries),
        })
    }
}
