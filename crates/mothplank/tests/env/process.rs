//! A process of the binary under test.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, PidfdFlags, pidfd_open, pidfd_send_signal};

use super::wait_for;

pub use rustix::process::Signal;

/// The number of log lines that are printed after a failure.
const TAIL_LINES: usize = 30;

/// A process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    /// Refers to this process even if its id is reused by another process.
    handle: OwnedFd,
    log: PathBuf,
    ended: Option<ExitStatus>,
}

/// Returns a command that runs the binary under test.
pub fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mothplank"));
    command.args(args).stdin(Stdio::null()).env("RUST_BACKTRACE", "1");
    command
}

impl Process {
    /// Starts the binary and appends its log to `NAME.log` in `folder`.
    pub fn spawn(name: &str, args: &[&str], folder: &Path) -> Self {
        let log = folder.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log).unwrap();
        let child = command(args).stdout(Stdio::piped()).stderr(file).spawn().unwrap();
        let handle = pidfd_open(Pid::from_child(&child), PidfdFlags::empty()).unwrap();
        Self { name: name.to_owned(), child, handle, log, ended: None }
    }

    /// Reads the first line of its standard output.
    ///
    /// # Panics
    /// Panics if the process exits without printing a line.
    pub fn first_line(&mut self) -> String {
        let mut line = String::new();
        let stdout = self.child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        assert!(!line.is_empty(), "{} printed nothing:\n{}", self.name, self.tail());
        line
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, unless it has exited.
    pub fn signal(&mut self, signal: Signal) {
        if !self.has_ended() {
            eprintln!("{} (process {}) is sent {signal:?}", self.name, self.id());
            pidfd_send_signal(&self.handle, signal).unwrap();
        }
    }

    /// Kills it and waits until it has exited.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.ended = Some(self.child.wait().unwrap());
    }

    /// Returns whether it has exited.
    pub fn has_ended(&mut self) -> bool {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().unwrap();
        }
        self.ended.is_some()
    }

    /// Waits until it exits and returns its exit code; `None` if a signal killed it.
    pub fn wait_end(&mut self) -> Option<i32> {
        let name = format!("the end of {}", self.name);
        wait_for(&name, || self.has_ended().then_some(()));
        self.ended.and_then(|it| it.code())
    }

    /// Returns its complete log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }
}

impl Process {
    /// Describes how it exited, or what each of its threads waits for. This helps with a process
    /// that has written nothing to its log.
    fn describe_state(&mut self) -> String {
        if self.has_ended() {
            return format!("ended: {:?}", self.ended);
        }
        let Ok(threads) = fs::read_dir(format!("/proc/{}/task", self.id())) else {
            return "its threads can't be read".to_owned();
        };
        let state = |thread: fs::DirEntry| {
            let read =
                |file: &str| fs::read_to_string(thread.path().join(file)).unwrap_or_default();
            let status = read("status");
            let state = status.lines().find(|it| it.starts_with("State:")).unwrap_or_default();
            format!("{}: {state}, waits in {}", read("comm").trim(), read("wchan"))
        };
        threads.filter_map(Result::ok).map(state).collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let state = self.describe_state();
            eprintln!("---- the state of {}:\n{state}", self.name);
        }
        // SIGKILL also kills a stopped process.
        self.kill();
        if std::thread::panicking() {
            eprintln!("---- the last lines of {}:\n{}", self.name, self.tail());
        }
    }
}
