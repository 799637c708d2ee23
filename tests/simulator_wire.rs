//! Replays a captured session of the simulator's wire format, with each kind of input and output record, and
//! compares the output byte for byte.
//!
//! `fixtures/simulator_session.txt` was captured on 1a8c4db and must not change. Each `in` line is one frame
//! that the simulator writes, and the `out` line after it is the frame that the adapter must answer, both in
//! hexadecimal digits.

use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

const SESSION: &str = include_str!("fixtures/simulator_session.txt");

fn captured_frames(kind: &str) -> Vec<Vec<u8>> {
    let lines = SESSION.lines().filter_map(|line| line.strip_prefix(kind));
    let byte = |text: &str, at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    lines.map(|text| (0..text.len()).step_by(2).map(|at| byte(text, at)).collect()).collect()
}

/// Returns the set of record codes, the first byte of each record, in these frames.
fn record_codes(frames: &[Vec<u8>], header: usize, count_at: usize, record: usize) -> BTreeSet<u8> {
    let number = |frame: &[u8]| {
        u32::from_le_bytes(frame[count_at..count_at + 4].try_into().expect("the slice has four bytes"))
            as usize
    };
    frames.iter().flat_map(|frame| (0..number(frame)).map(|at| frame[header + at * record])).collect()
}

#[test]
fn the_captured_session_is_answered_byte_for_byte() {
    let (input, expected) = (captured_frames("in "), captured_frames("out "));
    assert_eq!(record_codes(&input, 16, 12, 48), BTreeSet::from([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 99]));
    assert_eq!(record_codes(&expected, 8, 4, 24), BTreeSet::from([0, 1, 2, 3, 4, 5, 8, 10]));
    for line in [
        "ejected server 2b230100000a",
        "readmitted server 2b230100000a",
        "shedding load",
        "no ready server on the list",
        "server list unavailable, asking again",
    ] {
        let has = |frame: &Vec<u8>| frame.windows(line.len()).any(|bytes| bytes == line.as_bytes());
        assert!(expected.iter().any(has), "{line}");
    }
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_lugwharf-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter is started");
    let mut adapter_input = adapter.stdin.take().expect("standard input is piped");
    let writer = std::thread::spawn(move || {
        adapter_input.write_all(&input.concat()).expect("the adapter reads all input")
    });
    let output = adapter.wait_with_output().expect("the adapter exits");
    writer.join().expect("the writer thread exits");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        String::from_utf8_lossy(&output.stderr),
        "lugwharf-simulator: skipped an event of unknown code 99\n\
         lugwharf-simulator: skipped an event for instance 4, which is not up\n"
    );
    let mut remaining_output = &output.stdout[..];
    for (number, frame) in expected.iter().enumerate() {
        let (answer, remaining) = remaining_output.split_at(frame.len().min(remaining_output.len()));
        assert_eq!(answer, frame, "answer to frame {number}");
        remaining_output = remaining;
    }
    assert!(remaining_output.is_empty(), "{} surplus bytes", remaining_output.len());
}
