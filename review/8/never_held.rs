//! A request crashes each replica of a small service as soon as that begins to run it. It is never held: all
//! replicas of the service go down again each time that it comes.

#[path = "../common2.rs"]
mod common2;
#[path = "../deadly.rs"]
mod deadly;

use common2::*;
use deadly::{CONTACT, Others, PLAN, Takes, replicas, send_for};
use std::net::SocketAddr;
use std::thread::sleep;

fn main() {
    run_case(run)
}

fn run(record: &Record) -> i32 {
    let temp = TempFolder::new("8");
    let net = Net::choose();
    let list = List::default();
    let takes = if has_trouble() { Takes::Deadly(ms(2)) } else { Takes::Well };
    let crashes = replicas(net, takes, &list, record);
    let platform = list.serve(net.at(40, net.front)).expect("the list");
    let site =
        Site { net, folder: temp.0.clone(), list: platform.address, zones: zones(), tolerance: 2 };
    let Some(system) = System::start(&site, 6, PLAN, record) else { return 2 };
    sleep(ms(4_000));

    let fronts: Vec<SocketAddr> = system.edge.iter().map(Machine::front).collect();
    let others = Others::start(&fronts, record);
    send_for(&fronts, ms(40_000), &mut 0, record);
    let bookings = others.stop();
    let all = crashes.lock().unwrap().clone();
    let third = all.get(2).copied();
    let late = third.map_or(0, |third| all.iter().filter(|it| **it > third + CONTACT).count());
    record.say(&format!(
        "replicas that the request has crashed: {}; retries that reached replicas later than 3 s after the third \
         crash: {late}",
        all.len()
    ));
    record.say(&format!("bookings of other clients: {bookings:?}"));
    i32::from(late > 3)
}
