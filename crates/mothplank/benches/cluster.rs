//! Measures the replicated state with separate processes.
//! Run it with `cargo bench -p mothplank --bench cluster`.
//!
//! It prints the latency of changes, the time from the death of a leader to the next accepted
//! change, the time from the acceptance of a change until it is in force at eight entries, also
//! across the death of a leader, and the resource usage of idle processes. Data folders are created
//! in the folder that `TMPDIR` names.

#[path = "../tests/env/mod.rs"]
mod env;
#[path = "../tests/history/mod.rs"]
mod history;

use std::sync::Arc;
use std::time::{Duration, Instant};

use env::{Plan, TestEnv};
use history::{Answer, Operator, Record, entry_version};

/// The number of changes made one after the other.
const CHANGES: u64 = 300;

/// The number of leaders killed in the failover measurement.
const LEADER_KILLS: usize = 30;

/// The number of leaders killed right after a change was accepted.
const KILLS_AFTER_CHANGE: usize = 10;

/// The number of entries.
const ENTRIES: usize = 8;

/// How long idle processes are observed.
const IDLE_SPAN: Duration = Duration::from_secs(30);

/// The clock ticks per second in `/proc`, the unit of processor time there.
const TICKS_PER_SECOND: f64 = 100.0;

/// Generates numbers of changes. Skips the multiples of 5, 7 and 11, which [`Operator::change`]
/// treats specially.
struct ChangeNumbers(u64);

impl Iterator for ChangeNumbers {
    type Item = u64;

    fn next(&mut self) -> Option<u64> {
        self.0 += 1;
        while [5, 7, 11].iter().any(|it| self.0.is_multiple_of(*it)) {
            self.0 += 1;
        }
        Some(self.0)
    }
}

fn main() {
    // `cargo test --all-targets` also runs this program, but without the argument.
    if !std::env::args().any(|it| it == "--bench") {
        return;
    }
    print_line(&format!("load average: {}", read("/proc/loadavg").trim()));
    for members in [3, 5] {
        measure_latency(members);
    }
    measure_failover();
    measure_in_force();
    measure_idle();
    print_line(&format!("load average: {}", read("/proc/loadavg").trim()));
}

#[allow(clippy::print_stdout)] // A measurement's output.
fn print_line(line: &str) {
    println!("{line}");
}

fn read(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

fn summarize(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
    let ms = |share: f64| at(share).as_secs_f64() * 1e3;
    let (half, most, last) = (ms(0.5), ms(0.95), ms(1.0));
    format!("p50 {half:.1} ms, p95 {most:.1} ms, longest {last:.1} ms")
}

/// Starts members and entries; the entries run on the VMs from `first` on.
fn start(members: usize, first: usize, entries: usize, proxied: bool) -> TestEnv {
    let last = (first + entries).saturating_sub(1);
    let plan = Plan { controls: members, entries: last, proxied, ..Plan::default() };
    let mut env = TestEnv::open(plan);
    env.start_controls();
    env.init();
    env.wait_voters(members);
    for n in first..first + entries {
        env.start_entry(n);
    }
    env
}

fn all(members: usize) -> Vec<usize> {
    (1..=members).collect()
}

/// Proposes changes until one is accepted, and returns its version.
fn change_until_accepted(
    operator: &mut Operator,
    numbers: &mut ChangeNumbers,
    base: &mut u64,
) -> u64 {
    loop {
        match operator.change(numbers.next().unwrap(), *base) {
            Answer::Accepted(version) => {
                *base = version;
                return version;
            }
            Answer::Conflict(winner) => *base = winner.version,
            Answer::Lost => *base = operator.read().version,
        }
    }
}

fn measure_latency(members: usize) {
    let env = start(members, 1, 0, false);
    let leader = env.wait_leader(&all(members));
    let mut operator = Operator::new(&env, 0, &[leader], &Arc::new(Record::default()));
    let (mut numbers, mut base, mut times) = (ChangeNumbers(0), 0, Vec::new());
    for _ in 0..CHANGES {
        let from = Instant::now();
        change_until_accepted(&mut operator, &mut numbers, &mut base);
        times.push(from.elapsed());
    }
    print_line(&format!(
        "{members} members, {CHANGES} changes in turn at the leader: {}",
        summarize(times)
    ));
}

fn measure_failover() {
    let mut env = start(3, 1, 0, false);
    let record = Arc::new(Record::default());
    let (mut numbers, mut base, mut times) = (ChangeNumbers(0), 0, Vec::new());
    for _ in 0..LEADER_KILLS {
        let leader = env.wait_leader(&all(3));
        let others: Vec<usize> = (1..=3).filter(|it| *it != leader).collect();
        let mut operator = Operator::new(&env, 0, &others, &record);
        change_until_accepted(&mut operator, &mut numbers, &mut base);
        env.kill(&format!("control-{leader}"));
        let from = Instant::now();
        change_until_accepted(&mut operator, &mut numbers, &mut base);
        times.push(from.elapsed());
        env.start_control(leader);
        history::wait_members_applied(&env, base);
    }
    print_line(&format!(
        "3 members, {LEADER_KILLS} leaders killed, to the next accepted: {}",
        summarize(times)
    ));
}

fn wait_all(env: &TestEnv, least: u64) {
    std::thread::scope(|scope| {
        for n in 1..=ENTRIES {
            let (http, entry) = (env.http.clone(), env.entry_address(n));
            scope.spawn(move || {
                while entry_version(&http, entry) < Some(least) {
                    std::thread::sleep(Duration::from_millis(1));
                }
            });
        }
    });
}

fn measure_in_force() {
    let mut env = start(3, 1, ENTRIES, false);
    let record = Arc::new(Record::default());
    let mut operator = Operator::new(&env, 0, &all(3), &record);
    let (mut numbers, mut base, mut times) = (ChangeNumbers(0), 0, Vec::new());
    change_until_accepted(&mut operator, &mut numbers, &mut base);
    wait_all(&env, base);
    for _ in 0..CHANGES / 3 {
        change_until_accepted(&mut operator, &mut numbers, &mut base);
        let from = Instant::now();
        wait_all(&env, base);
        times.push(from.elapsed());
    }
    let count = times.len();
    print_line(&format!(
        "{count} changes, accepted to in force at {ENTRIES} entries: {}",
        summarize(times)
    ));

    let mut times = Vec::new();
    for _ in 0..KILLS_AFTER_CHANGE {
        let leader = env.wait_leader(&all(3));
        let mut operator = Operator::new(&env, 0, &[leader], &record);
        change_until_accepted(&mut operator, &mut numbers, &mut base);
        let from = Instant::now();
        env.kill(&format!("control-{leader}"));
        wait_all(&env, base);
        times.push(from.elapsed());
        env.start_control(leader);
        history::wait_members_applied(&env, base);
    }
    print_line(&format!(
        "the same, leader killed at once, {KILLS_AFTER_CHANGE} times: {}",
        summarize(times)
    ));

    let mut times = Vec::new();
    for _ in 0..KILLS_AFTER_CHANGE {
        let leader = env.wait_leader(&all(3));
        let others: Vec<usize> = (1..=3).filter(|it| *it != leader).collect();
        let mut operator = Operator::new(&env, 0, &others, &record);
        env.kill(&format!("control-{leader}"));
        change_until_accepted(&mut operator, &mut numbers, &mut base);
        let from = Instant::now();
        wait_all(&env, base);
        times.push(from.elapsed());
        env.start_control(leader);
        history::wait_members_applied(&env, base);
    }
    print_line(&format!(
        "the same, first change after a death, {KILLS_AFTER_CHANGE} times: {}",
        summarize(times)
    ));
}

/// Returns the resident memory of a process and its peak, in MB, and its processor time, in
/// seconds.
fn usage(id: u32) -> (f64, f64, f64) {
    let status = read(&format!("/proc/{id}/status"));
    let field = |name: &str| {
        let line = status.lines().find_map(|it| it.strip_prefix(name));
        let number = line.and_then(|it| it.split_whitespace().next()?.parse::<f64>().ok());
        number.unwrap_or(0.0) / 1e3
    };
    let stat = read(&format!("/proc/{id}/stat"));
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = rest.split_whitespace().map(|it| it.parse().unwrap_or(0.0)).collect();
    (field("VmRSS:"), field("VmHWM:"), (fields[11] + fields[12]) / TICKS_PER_SECOND)
}

/// Measures idle processes. The entries run on VMs without members, so that each link carries the
/// traffic of only one process.
fn measure_idle() {
    let (first, last) = (4, 3 + ENTRIES);
    let env = start(3, first, ENTRIES, true);
    let mut operator = Operator::new(&env, 0, &all(3), &Arc::new(Record::default()));
    change_until_accepted(&mut operator, &mut ChangeNumbers(0), &mut 0);
    for n in first..=last {
        env.wait_ready(env.entry_address(n));
    }
    let leader = env.wait_leader(&all(3));
    let bytes = |env: &TestEnv, from: usize| -> u64 {
        (1..=3).filter(|to| *to != from).map(|to| env.link(from, to).counts().forwarded).sum()
    };
    let sample = |env: &TestEnv| {
        let controls = (1..=3).map(|n| (format!("control-{n}"), n));
        let entries = (first..=last).map(|n| (format!("entry-{n}"), n));
        let rows = controls.chain(entries);
        rows.map(|(name, n)| (usage(env.process_id(&name)), bytes(env, n), name))
            .collect::<Vec<_>>()
    };
    let before = sample(&env);
    std::thread::sleep(IDLE_SPAN);
    for (was, now) in before.into_iter().zip(sample(&env)) {
        let seconds = IDLE_SPAN.as_secs_f64();
        let share = (now.0.2 - was.0.2) / seconds * 100.0;
        let rate = (now.1 - was.1) as f64 / seconds / 1e3;
        let (memory, most, name) = (now.0.0, now.0.1, now.2);
        let leads = if name == format!("control-{leader}") { ", leads" } else { "" };
        print_line(&format!(
            "at rest, {name}{leads}: {memory:.1} MB (most {most:.1}), {share:.2}% of a core, \
             {rate:.2} KB/s on the links that it opened, both ways"
        ));
    }
}
