//! A controller with a core of one: shutdown, and a restart in the view on its disk.

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
const STEP_TIMEOUT: Duration = Duration::from_millis(20);

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
    let controller = Controller::start(
        settings(directory),
        StageTuning::default(),
        commands.clone(),
        &RejectionCounters::default(),
    )
    .expect("a start");
    (controller, commands, queue)
}

async fn step(controller: &mut Controller, queue: &mut Receiver<Command>) {
    controller.handle(Command::Tick);
    if let Ok(Some(command)) = timeout(STEP_TIMEOUT, queue.recv()).await {
        controller.handle(command);
    }
}

/// An empty folder of its own.
fn folder(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("lugwharf-controller-{name}-{}", std::process::id()));
    drop(std::fs::remove_dir_all(&directory));
    std::fs::create_dir_all(&directory).expect("a folder");
    directory
}

/// Goes on until a core of one has founded itself.
async fn bootstrap(controller: &mut Controller, queue: &mut Receiver<Command>) {
    let mut steps = 0;
    while !controller.replica.status().is_serving && steps < MAX_STEPS {
        step(controller, queue).await;
        steps += 1;
    }
}

/// What an agent that has nothing is told of contact.
fn has_quorum_for_agents(controller: &mut Controller) -> bool {
    let (reply, mut answer) = oneshot::channel();
    let (node, incarnation, loads) = ("front-1".to_owned(), 1, Vec::new());
    let request = AgentRequest::Pull { node, incarnation, have: VersionVector::default(), wait_ms: 0, loads };
    controller.handle(Command::Pull { request, reply });
    let frame = answer.try_recv().expect("an answer");
    let ControlReply::Update { has_quorum, .. } = decode(&frame[size_of::<u32>()..]).expect("a reply");
    has_quorum
}

#[tokio::test]
async fn shutdown_sends_agents_to_other_processes_until_the_end() {
    let directory = folder("end");
    let (mut controller, _commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    assert!(has_quorum_for_agents(&mut controller));
    let (done, mut outcome) = oneshot::channel();
    controller.handle(Command::Shutdown { done });
    assert!(!has_quorum_for_agents(&mut controller));
    let mut steps = 0;
    while outcome.is_empty() && steps < MAX_STEPS {
        step(&mut controller, &mut queue).await;
        steps += 1;
    }
    assert_eq!(outcome.try_recv(), Ok(ShutdownOutcome::Stayed));
    assert!(!has_quorum_for_agents(&mut controller));
    drop(std::fs::remove_dir_all(directory));
}

#[tokio::test]
async fn view_found_on_disk_is_reported_to_the_elector() {
    let directory = folder("view");
    let (mut controller, commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    let view = controller.views.current();
    assert!(controller.replica.status().is_serving && view > 0, "{:?}", controller.replica.status());
    drop((controller, commands, queue));

    // Nothing new is agreed: the core goes on in that view.
    let (controller, _commands, _queue) = start(&directory);
    assert_eq!(controller.views.current(), view);
    drop(std::fs::remove_dir_all(directory));
}
