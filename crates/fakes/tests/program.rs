//! Tests of the program that runs stand-ins as separate processes.

#![allow(clippy::unwrap_used)]

use std::{
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
};

use googletest::prelude::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dw-standin");

/// A process that is killed when dropped, even if the test fails.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against an output line that scripts cannot parse, and against addresses that are not
/// served.
#[gtest]
fn announced_addresses_are_served() {
    let commands: [&[&str]; 2] = [&["platform"], &["target", "--service", "tally", "--slots", "3"]];
    for arguments in commands {
        let mut command = Command::new(PROGRAM);
        let child = command.args(arguments).stdout(Stdio::piped()).spawn().unwrap();
        let mut running = Running(child);
        let mut line = String::new();
        BufReader::new(running.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let words: Vec<_> = line.split_whitespace().collect();
        assert_that!(words.len(), eq(4));
        for addr in [words[1], words[3]] {
            let addr: SocketAddr = addr.parse().unwrap();
            assert_that!(addr.ip().is_loopback(), eq(true));
            assert_that!(TcpStream::connect(addr).is_ok(), eq(true));
        }
    }
}

/// Guards against invalid arguments that end with a successful exit code.
#[gtest]
fn wrong_arguments_are_refused() {
    for arguments in [&[][..], &["target"], &["platform", "--addr", "nowhere"]] {
        let mut command = Command::new(PROGRAM);
        let output = command.args(arguments).output().unwrap();
        assert_that!(output.status.code(), some(eq(2)));
    }
}
