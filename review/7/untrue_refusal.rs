//! One replica of the booking service fails part of its requests after it has run them, with 503 and without the
//! header that states that a request did not run. The edge machines pass that on as a promise.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;

/// The replica that fails part of its requests: one of three.
const GREY: u8 = 42;
/// Of this many requests that it runs, it fails two (x = 0.4).
const OF: u64 = 5;
const FAILED: u64 = 2;
const BOOKINGS: u32 = 60;

type Runs = Arc<Mutex<HashMap<String, u32>>>;

fn replica(net: Net, host: u8, id: String, runs: &Runs, record: &Record) -> Server {
    let (runs, record, count) = (runs.clone(), record.clone(), AtomicU64::new(0));
    let fails = has_trouble() && host == GREY;
    let server = Server::start(net.at(host, net.front), move |request, stream| {
        let attempt = request.header("x-mothplank-attempt-id").unwrap_or("").to_owned();
        let expected = request.header("x-mothplank-expect-replica").unwrap_or(&id);
        let mut headers = vec![("X-Mothplank-Attempt-Id", attempt.clone())];
        if expected != id {
            headers.push(("X-Mothplank-Not-Executed", "1".to_owned()));
            return stream.write_all(&answer("421 Misdirected Request", &headers, b"")).is_ok();
        }
        if request.path() == "/healthz" {
            headers.push(("X-Mothplank-Replica-Id", id.clone()));
            return stream.write_all(&answer("200 OK", &headers, b"")).is_ok();
        }
        // The booking takes place.
        sleep(ms(20));
        *runs.lock().unwrap().entry(attempt.clone()).or_default() += 1;
        headers.push(("X-Mothplank-Replica-Seal", seal(&id)));
        let is_failure = fails && count.fetch_add(1, Ordering::Relaxed) % OF < FAILED;
        let status = if is_failure { "503 Service Unavailable" } else { "200 OK" };
        record.line(&format!("{id} runs {attempt} ({}) and answers {status}", request.text()));
        let body: &[u8] = if is_failure { b"the ledger is busy" } else { b"booked" };
        stream.write_all(&answer(status, &headers, body)).is_ok()
    });
    server.expect("a replica")
}

fn main() {
    run_case(run)
}

fn run(record: &Record) -> i32 {
    let temp = TempFolder::new("7");
    let net = Net::choose();
    let (list, runs) = (List::default(), Runs::default());
    let mut entries = Vec::new();
    let mut replicas = Vec::new();
    for host in 41..=43 {
        let id = format!("i-{host}");
        replicas.push(replica(net, host, id.clone(), &runs, record));
        let (service, address) = ("wuno96b".to_owned(), net.at(host, net.front));
        let zone = zones()[usize::from(host) % 3].clone();
        entries.push(Listed { id, service, address, zone, slots: 6, state: "ready" });
    }
    list.set(entries);
    let platform = list.serve(net.at(40, net.front)).expect("the list");
    let site =
        Site { net, folder: temp.0.clone(), list: platform.address, zones: zones(), tolerance: 2 };
    let plan = r#"{"version":7,"routes":[{"name":"r-1","host":"jepu9.example","path_prefix":"/cufi501/","type":"unsafe","timeout_ms":1500,"latency_target_ms":300,"priority":0,"service":"wuno96b","max_attempts":1}],"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":48,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    let Some(system) = System::start(&site, 2, plan, record) else { return 2 };
    sleep(ms(3_500));

    let (mut untrue, mut doubled, mut served) = (0, 0, 0);
    for booking in 0..BOOKINGS {
        let mut ran = 0;
        // The client sends an unsafe request once more after a promise that it has not run, and only then.
        for retry in 0..2 {
            let attempt = attempt_id();
            let front = system.edge[(booking + retry) as usize % system.edge.len()].front();
            let headers = [
                ("Host", "jepu9.example".to_owned()),
                ("X-Mothplank-Attempt-Id", attempt.clone()),
                ("X-Mothplank-Deadline-Ms", "1500".to_owned()),
            ];
            record.line(&format!("booking {booking} is sent to {front} as {attempt}"));
            let body = format!("booking {booking}");
            let got = call(front, "POST", "/cufi501/x", &headers, body.as_bytes(), ms(1_500));
            let status = got.map_or(0, |it| it.status());
            let has_run = runs.lock().unwrap().contains_key(&attempt);
            ran += u32::from(has_run);
            record.line(&format!("{attempt} is answered {status}; it has run: {has_run}"));
            served += u32::from(status == 200);
            let is_promise = matches!(status, 408 | 421 | 429 | 503);
            untrue += u32::from(is_promise && has_run);
            if !is_promise {
                break;
            }
            sleep(ms(300));
        }
        doubled += u32::from(ran > 1);
    }
    record.say(&format!(
        "{BOOKINGS} bookings, {served} answered 200; attempts answered with a promise that have run: {untrue}; \
         bookings that took place twice, as the client believed the promise: {doubled}"
    ));
    i32::from(untrue > 0)
}
