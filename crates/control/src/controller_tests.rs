//! A control process that comes back to a core that goes on in the view that is on its disk.

use super::Controller;
use crate::command::Command;
use crate::metrics::RejectionCounters;
use crate::shutdown::ShutdownOutcome;
use lugwharf_protocol::{AgentRequest, ControlReply, VersionVector, decode};
use lugwharf_settings::Settings;
use lugwharf_stages::StageTuning;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Steps until a core of one has founded itself; each ends with the next command or after this time.
const MAX_STEPS: usize = 1_000;
const STEP: Duration = Duration::from_millis(20);

fn settings(directory: &Path) -> Settings {
    let text = format!(
        r#"
        Node = "core-1"
        Ip = "127.0.0.1"
        PortRange = [7000, 7009]
        Seeds = ["127.0.0.1:9000"]
        Bootstrap = true
        DataDir = "{}"
        [FaultTolerance]
        Machines = 0
        "#,
        directory.display()
    );
    Settings::parse(&text).expect("readable")
}

fn start(directory: &Path) -> (Controller, Sender<Command>, Receiver<Command>) {
    let (commands, queue) = mpsc::channel(64);
    let owner = Controller::start(
        settings(directory),
        StageTuning::default(),
        commands.clone(),
        &RejectionCounters::default(),
    )
    .expect("a start");
    (owner, commands, queue)
}

async fn step(owner: &mut Controller, queue: &mut Receiver<Command>) {
    owner.handle(Command::Tick);
    if let Ok(Some(command)) = timeout(STEP, queue.recv()).await {
        owner.handle(command);
    }
}

/// An empty folder of its own.
fn folder(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("lugwharf-owner-{name}-{}", std::process::id()));
    drop(std::fs::remove_dir_all(&directory));
    std::fs::create_dir_all(&directory).expect("a folder");
    directory
}

/// Goes on until a core of one has founded itself.
async fn found(owner: &mut Controller, queue: &mut Receiver<Command>) {
    let mut steps = 0;
    while !owner.replica.status().is_serving && steps < MAX_STEPS {
        step(owner, queue).await;
        steps += 1;
    }
}

/// What an agent that has nothing is told of contact.
fn is_in_touch(owner: &mut Controller) -> bool {
    let (reply, mut answer) = oneshot::channel();
    let (node, incarnation, loads) = ("front-1".to_owned(), 1, Vec::new());
    let request = AgentRequest::Pull { node, incarnation, have: VersionVector::default(), wait_ms: 0, loads };
    owner.handle(Command::Pull { request, reply });
    let frame = answer.try_recv().expect("an answer");
    let ControlReply::Update { has_quorum, .. } = decode(&frame[size_of::<u32>()..]).expect("a reply");
    has_quorum
}

#[tokio::test]
async fn one_that_was_told_to_end_sends_its_agents_elsewhere_until_it_ends() {
    let directory = folder("end");
    let (mut owner, _commands, mut queue) = start(&directory);
    found(&mut owner, &mut queue).await;
    assert!(is_in_touch(&mut owner));
    let (done, mut outcome) = oneshot::channel();
    owner.handle(Command::Shutdown { done });
    assert!(!is_in_touch(&mut owner));
    let mut steps = 0;
    while outcome.is_empty() && steps < MAX_STEPS {
        step(&mut owner, &mut queue).await;
        steps += 1;
    }
    assert_eq!(outcome.try_recv(), Ok(ShutdownOutcome::Stayed));
    assert!(!is_in_touch(&mut owner));
    drop(std::fs::remove_dir_all(directory));
}

#[tokio::test]
async fn the_view_that_is_found_on_the_disk_is_told_to_the_election() {
    let directory = folder("view");
    let (mut owner, commands, mut queue) = start(&directory);
    found(&mut owner, &mut queue).await;
    let view = owner.current_view;
    assert!(owner.replica.status().is_serving && view > 0, "{:?}", owner.replica.status());
    drop((owner, commands, queue));

    // Nothing new is agreed: the core goes on in that view.
    let (owner, _commands, _queue) = start(&directory);
    assert_eq!(owner.current_view, view);
    drop(std::fs::remove_dir_all(directory));
}
