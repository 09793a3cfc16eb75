//! A request that crashes each replica that runs it is held. Then all processes of the system are killed at once
//! and start again: the request is sent to replicas anew.

#[path = "../common2.rs"]
mod common2;
#[path = "../deadly.rs"]
mod deadly;

use common2::*;
use deadly::{CONTACT, Others, PLAN, Takes, replicas, send_for};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Instant;

fn main() {
    run_case(run)
}

fn run(record: &Record) -> i32 {
    let temp = TempFolder::new("9");
    let net = Net::choose();
    let list = List::default();
    let crashes = replicas(net, Takes::Deadly(ms(80)), &list, record);
    let platform = list.serve(net.at(40, net.front)).expect("the list");
    let site =
        Site { net, folder: temp.0.clone(), list: platform.address, zones: zones(), tolerance: 2 };
    let Some(mut system) = System::start(&site, 6, PLAN, record) else { return 2 };
    sleep(ms(4_000));

    let fronts: Vec<SocketAddr> = system.edge.iter().map(Machine::front).collect();
    let mut turn = 0;
    send_for(&fronts, ms(24_000), &mut turn, record);
    let before = crashes.lock().unwrap().clone();
    let Some(third) = before.get(2).copied() else {
        record.say("the request did not reach three replicas");
        return 2;
    };
    record.line(&format!("the request has crashed {} replicas so far", before.len()));
    if has_trouble() {
        for machine in system.core.iter().chain(&system.edge) {
            machine.signal(SIGKILL);
        }
        for machine in system.core.iter_mut().chain(&mut system.edge) {
            machine.wait(ms(2_000));
        }
        sleep(ms(700));
        for machine in system.core.iter_mut().chain(&mut system.edge) {
            machine.start();
        }
        record.line("all processes were killed, and were started again");
    }
    let started = Instant::now();
    // After a fault that took most of the core, machines are in touch after twice the usual time.
    sleep(CONTACT * 2 + ms(500));
    let others = Others::start(&fronts, record);
    send_for(&fronts, ms(24_000), &mut turn, record);
    let bookings = others.stop();
    let all = crashes.lock().unwrap().clone();
    let early = before.iter().filter(|it| **it > third + CONTACT).count();
    let late = all[before.len()..].iter().filter(|it| **it > started + CONTACT * 2).count();
    record.say(&format!(
        "replicas that the request has crashed: {}; retries that reached replicas later than 3 s after the third \
         crash, sent by machines in touch: {early} before the kill, {late} after it",
        all.len()
    ));
    record.say(&format!("bookings of other clients, from 6.5 s after the start: {bookings:?}"));
    i32::from(early + late > 3)
}
