//! All edge processes are killed at once and are back half a second later. Streams that were broken off are then
//! not taken up again, although all replicas have the software version that began them.

#[path = "../common2.rs"]
mod common2;

use common2::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const STREAMS: usize = 14;
const EVENTS: u64 = 90;
const EVENT_TIME: Duration = Duration::from_millis(120);
/// The pauses of a client before its tries to take a stream up: 0.3, 1.2 and 4.4 s after the break.
const PAUSES: [u64; 3] = [300, 900, 3_200];
/// A machine is in touch this long after its start.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Starts a model replica, which makes one event of a stream after the other.
fn engine(net: Net, host: u8, id: String, record: &Record) -> Server {
    let record = record.clone();
    let server = Server::start(net.at(host, net.front), move |request, stream| {
        let attempt = request.header("x-mothplank-attempt-id").unwrap_or("").to_owned();
        let expected = request.header("x-mothplank-expect-replica").unwrap_or(&id);
        if expected != id {
            let headers = [
                ("X-Mothplank-Attempt-Id", attempt.clone()),
                ("X-Mothplank-Not-Executed", "1".to_owned()),
            ];
            return stream.write_all(&answer("421 Misdirected Request", &headers, b"")).is_ok();
        }
        if request.path() == "/healthz" || request.path() == "/mothplank/report" {
            let headers = [("X-Mothplank-Replica-Id", id.clone())];
            return stream.write_all(&answer("200 OK", &headers, b"{}")).is_ok();
        }
        let last: u64 = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        record.line(&format!("{id} runs {attempt} after event {last}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Mothplank-Attempt-Id: {attempt}\r\nX-Mothplank-Replica-Seal: {}\r\n\
             X-Mothplank-Weight-Versions: 1\r\n\r\n",
            seal(&id)
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            sleep(EVENT_TIME);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    server.expect("a replica")
}

/// Opens a stream; returns its reader, or why it did not begin.
fn open(
    front: SocketAddr,
    attempt: &str,
    taken_up: Option<(&str, u64)>,
) -> Result<BufReader<TcpStream>, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&front, ms(1_000)).map_err(text)?;
    stream.set_read_timeout(Some(ms(5_000))).map_err(text)?;
    let mut head = format!(
        "POST /puxa400/2f HTTP/1.1\r\nHost: pule25.example\r\nX-Mothplank-Attempt-Id: {attempt}\r\n\
         X-Mothplank-Model: m\r\nX-Mothplank-Token-Count: 460,80\r\n\
         X-Mothplank-Prefix-Hash: 5c1e07a2:300,91bd3f06:110,{}:50\r\n\
         X-Mothplank-Deadline-Ms: 20000\r\nContent-Length: 0\r\n",
        &attempt[8..]
    );
    if let Some((began, last)) = taken_up {
        head.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {began}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let mut status = String::new();
    reader.read_line(&mut status).map_err(text)?;
    if !status.starts_with("HTTP/1.1 200") {
        let mut line = String::new();
        let mut answered = status.trim_end().to_owned();
        while reader.read_line(&mut line).is_ok_and(|it| it > 0) {
            answered = if line.trim().is_empty() {
                answered
            } else {
                format!("{answered} | {}", line.trim_end())
            };
            line.clear();
            if answered.len() > 300 {
                break;
            }
            let _ = reader.get_ref().set_read_timeout(Some(ms(100)));
        }
        return Err(answered);
    }
    Ok(reader)
}

/// Reads the next number of an event; `None` once the stream has ended or broken off.
fn next_event(reader: &mut BufReader<TcpStream>) -> Option<u64> {
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim_end() == "0" {
            return None;
        }
        if let Some(number) = line.strip_prefix("id: ") {
            return number.trim().parse().ok();
        }
    }
}

fn main() {
    run_case(run)
}

fn run(record: &Record) -> i32 {
    let temp = TempFolder::new("7");
    let net = Net::choose();
    let list = List::default();
    let zones = zones();
    let mut entries = Vec::new();
    let mut replicas = Vec::new();
    for host in 41..=44 {
        let id = format!("i-{host}");
        replicas.push(engine(net, host, id.clone(), record));
        entries.push(Listed {
            id,
            service: "huvo11a".to_owned(),
            address: net.at(host, net.front),
            zone: zones[usize::from(host) % 3].clone(),
            slots: 64,
            state: "ready",
        });
    }
    list.set(entries);
    let platform = list.serve(net.at(40, net.front)).expect("the list");
    let site = Site { net, folder: temp.0.clone(), list: platform.address, zones, tolerance: 2 };
    let plan = r#"{"version":7,"routes":[{"name":"r-1","host":"pule25.example","path_prefix":"/puxa400/","type":"stream","timeout_ms":20000,"latency_target_ms":1800,"priority":0,"service":"huvo11a","max_attempts":2,"stages":[],"public":false,"sticky":true,"resumable":true,"itl_target_ms":400}],"services":[{"name":"huvo11a","health_path":"/healthz","max_conns":270,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":345738,"kv_token_bytes":163840,"link_mbps":2200000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
    let Some(mut system) = System::start(&site, 6, plan, record) else { return 2 };
    let edge = &mut system.edge;
    sleep(ms(4_000));

    let fronts: Vec<SocketAddr> = edge.iter().map(Machine::front).collect();
    let broken = Arc::new(AtomicBool::new(false));
    let begun = Arc::new(AtomicU32::new(0));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record, broken, begun) =
                (fronts.clone(), record.clone(), broken.clone(), begun.clone());
            thread::spawn(move || client(number, &fronts, &record, &broken, &begun))
        })
        .collect();
    sleep(ms(2_000));
    if begun.load(Ordering::SeqCst) < STREAMS as u32 {
        record.say("not all streams have begun");
        return 2;
    }
    if has_trouble() {
        edge.iter().for_each(|it| it.signal(SIGKILL));
        for machine in edge.iter_mut() {
            machine.wait(ms(2_000));
        }
        broken.store(true, Ordering::SeqCst);
        sleep(ms(500));
        edge.iter_mut().for_each(Machine::start);
    } else {
        // The clients' own connections break instead.
        broken.store(true, Ordering::SeqCst);
        sleep(ms(500));
    }
    let started = Instant::now();
    sleep(CONTACT + ms(700));
    let mut began = 0;
    for number in 0..STREAMS {
        let attempt = attempt_id();
        let front = fronts[number % fronts.len()];
        record.line(&format!("{attempt} is sent to {front} as a new stream"));
        match open(front, &attempt, None) {
            Ok(mut reader) => match next_event(&mut reader) {
                Some(_) => began += 1,
                None => record.line(&format!("{attempt} has no event")),
            },
            Err(why) => record.line(&format!("{attempt} did not begin: {why}")),
        }
    }
    let outcomes: Vec<Option<(bool, Instant)>> =
        clients.into_iter().map(|it| it.join().unwrap()).collect();
    let tried: Vec<(bool, Instant)> = outcomes.into_iter().flatten().collect();
    let in_touch: Vec<&(bool, Instant)> =
        tried.iter().filter(|it| !has_trouble() || it.1 >= started + CONTACT).collect();
    let goes_on = in_touch.iter().filter(|it| it.0).count();
    record.say(&format!(
        "streams taken up at machines in touch: {}, of these go on: {goes_on}; new streams: {STREAMS}, begun: {began}",
        in_touch.len()
    ));
    if in_touch.len() < 12 || began == 0 {
        record.say("too few streams to judge");
        return 2;
    }
    let share = goes_on as f64 / in_touch.len() as f64;
    let new_share = f64::from(began) / STREAMS as f64;
    i32::from(share < new_share / 2.0)
}

/// A client of one stream. Returns whether its last try to take the stream up went on, and when that was sent.
fn client(
    number: usize,
    fronts: &[SocketAddr],
    record: &Record,
    broken: &AtomicBool,
    begun: &AtomicU32,
) -> Option<(bool, Instant)> {
    let began = attempt_id();
    let front = fronts[number % fronts.len()];
    record.line(&format!("{began} is sent to {front}"));
    let mut reader = match open(front, &began, None) {
        Ok(it) => it,
        Err(why) => {
            record.line(&format!("{began} did not begin: {why}"));
            return None;
        }
    };
    let mut last = next_event(&mut reader)?;
    begun.fetch_add(1, Ordering::SeqCst);
    while !broken.load(Ordering::SeqCst) {
        match next_event(&mut reader) {
            Some(event) => last = event,
            None => break,
        }
    }
    drop(reader);
    record.line(&format!("{began} was broken off after event {last}"));
    let mut outcome = None;
    for (at, pause) in PAUSES.into_iter().enumerate() {
        sleep(ms(pause));
        let (attempt, front) = (attempt_id(), fronts[(number + at + 1) % fronts.len()]);
        let sent = Instant::now();
        record
            .line(&format!("{attempt} is sent to {front}; it takes up {began} after event {last}"));
        match open(front, &attempt, Some((&began, last))) {
            Ok(mut reader) => {
                let next = next_event(&mut reader);
                let goes_on = next == Some(last + 1);
                record.line(&format!("{attempt} goes on with {next:?}"));
                outcome = Some((goes_on, sent));
                if goes_on {
                    break;
                }
            }
            Err(why) => {
                record.line(&format!("{attempt} does not go on: {why}"));
                outcome = Some((false, sent));
            }
        }
    }
    outcome
}
