//! Hosts one balancer for each instance of the simulator.

use crate::wire::{Batch, DiscoveryUpdate, LIST_NUMBERS, ListKind, Record, Reply, WireError};
use lugwharf_sidecar::api::{Action, Event, ServerEntry, ServerListEvent};
use lugwharf_sidecar::settings_text::SettingError;
use lugwharf_sidecar::{Balancer, settings_text};
use std::collections::HashMap;
use std::io;

/// What ends the adapter.
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

struct Instance {
    balancer: Balancer,
    /// The value of its servers' load reports that the module asks for.
    load_field: Option<usize>,
}

/// All instances that run, and the lists that were declared.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u32, Instance>,
    lists: [Option<Vec<ServerEntry>>; LIST_NUMBERS as usize],
    actions: Vec<Action>,
}

impl Host {
    /// Handles the records of a batch in order, and adds the actions of all instances to the reply. Records of an unknown
    /// code, or for an instance that does not run, are skipped with a line on standard error.
    pub fn handle(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), HostError> {
        for record in batch.records() {
            let Some((number, event)) = self.event_of(record?)? else { continue };
            let Some(instance) = self.instances.get_mut(&number) else {
                eprintln!("lugwharf-simulator: skipped an event for instance {number}, which is not up");
                continue;
            };
            instance.balancer.handle(batch.now, event, &mut self.actions);
            self.actions.drain(..).for_each(|action| reply.push(number, &action));
        }
        Ok(())
    }

    /// The event of a record and the instance that it is for. Other records are carried out here.
    fn event_of(&mut self, record: Record) -> Result<Option<(u32, Event)>, HostError> {
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
                let field = self.instances.get(&instance).and_then(|instance| instance.load_field);
                let load = field.and_then(|field| load_values.get(field).copied());
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

    fn start(&mut self, number: u32, seed: u64, text: &str) -> Result<(), HostError> {
        let settings = settings_text::parse(text).map_err(|error| HostError::Settings(number, error))?;
        let instance = Instance {
            balancer: Balancer::new(settings, seed),
            load_field: settings_text::load_field_index(text),
        };
        self.instances.insert(number, instance);
        Ok(())
    }

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
