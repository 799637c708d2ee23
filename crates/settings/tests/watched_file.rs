//! Tests of which changes of the settings file are noticed without a signal.

use lugwharf_settings::{Settings, SettingsError, WatchedFile};
use std::fs;
use std::path::{Path, PathBuf};

fn text(seeds: &str) -> String {
    format!("Node = \"core-1\"\nIp = \"127.0.0.1\"\nPortRange = [7000, 7009]\nSeeds = [{seeds}]\n")
}

/// Creates a directory with a settings file for one test.
fn write_settings(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("lugwharf-settings-{name}-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("cannot create the directory");
    let path = directory.join("settings.toml");
    fs::write(&path, text("")).expect("cannot write the file");
    path
}

fn watch(path: &Path) -> WatchedFile {
    WatchedFile::new(Settings::read(path).expect("the settings are valid"))
}

/// The number of seeds after a poll that returns settings.
fn polled_seeds(file: &mut WatchedFile) -> Option<usize> {
    file.poll().map(|settings| settings.expect("the settings are valid").seeds.len())
}

/// Guards against settings that change without a signal and are read at the next start only (`review/2`).
#[test]
fn change_without_a_signal_is_noticed_once() {
    let path = write_settings("change");
    let mut file = watch(&path);
    assert_eq!(polled_seeds(&mut file), None);
    fs::write(&path, text("\"10.0.0.1:80\"")).expect("cannot write the file");
    assert_eq!((polled_seeds(&mut file), polled_seeds(&mut file)), (Some(1), None));
    let replacement = path.with_extension("new");
    fs::write(&replacement, text("\"10.0.0.1:80\", \"10.0.0.2:80\"")).expect("cannot write the file");
    fs::rename(&replacement, &path).expect("cannot replace the file");
    assert_eq!((polled_seeds(&mut file), polled_seeds(&mut file)), (Some(2), None));
    fs::write(&path, text("\"10.0.0.1:80\", \"10.0.0.2:80\"") + "# the same settings\n")
        .expect("cannot write the file");
    assert_eq!(polled_seeds(&mut file), None);
}

#[test]
fn change_between_the_start_and_the_first_poll_is_noticed() {
    let path = write_settings("start");
    let mut file = watch(&path);
    fs::write(&path, text("\"10.0.0.1:80\"")).expect("cannot write the file");
    assert_eq!(polled_seeds(&mut file), Some(1));
}

#[test]
fn unreadable_file_is_reported_once_and_tried_again() {
    let path = write_settings("unreadable");
    let mut file = watch(&path);
    fs::write(&path, "Node = \"core").expect("cannot write the file");
    assert!(matches!(file.poll(), Some(Err(SettingsError::Malformed(_)))));
    assert!(file.poll().is_none());
    fs::remove_file(&path).expect("cannot remove the file");
    assert!(file.poll().is_none(), "the file is still unreadable");
    fs::write(&path, text("\"10.0.0.1:80\"")).expect("cannot write the file");
    assert_eq!(polled_seeds(&mut file), Some(1));
    fs::remove_file(&path).expect("cannot remove the file");
    assert!(matches!(file.poll(), Some(Err(SettingsError::Unreadable { .. }))));
}

#[test]
fn reload_reads_an_unchanged_file_too() {
    let path = write_settings("reload");
    let mut file = watch(&path);
    assert_eq!(file.reload().expect("the settings are valid").seeds.len(), 0);
    fs::write(&path, text("\"10.0.0.1:80\"")).expect("cannot write the file");
    assert_eq!(file.reload().expect("the settings are valid").seeds.len(), 1);
    assert_eq!(polled_seeds(&mut file), None, "the change was read by the reload");
}

#[test]
fn settings_without_a_file_never_change() {
    let mut file = WatchedFile::new(Settings::parse(&text("")).expect("the settings are valid"));
    assert!(file.poll().is_none());
}
