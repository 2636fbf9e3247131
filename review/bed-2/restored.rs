//! A drill of the store during a release, in which all routers are killed.
//!
//! `TROUBLE=0` leaves both out, `TROUBLE=drill` the kill. With `TROUBLE=outage` the store is away for longer and
//! comes back whole, but for the entries of the new engines, which have expired meanwhile.

use crate::{
    Verdict,
    engine::Engine,
    fleet::Fleet,
    moved::{PACE, Totals, configuration, receive_stream},
};
use std::{sync::Arc, thread, time::Duration};

const CLIENTS: usize = 40;
/// The time over which the clients begin their streams.
const BEGIN_TIME: Duration = Duration::from_millis(2_500);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// How long the store is away with `TROUBLE=outage`: longer than three heartbeats.
const OUTAGE: Duration = Duration::from_millis(4_000);
const KILLED_AFTER: Duration = Duration::from_millis(300);
/// When engines write their entries again that the store has lost: within a heartbeat, which is 1.2 s.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1_200);

pub fn play(trouble: &str, record_path: &str) -> Verdict {
    let mut fleet = Fleet::new(2, 110);
    fleet.store.put("keyed.op", "config", Some(&configuration(7, "chat-a")));
    let old = [0, 1].map(|index| fleet.add_engine(index, "chat-a", "v1", PACE));
    let new = [2, 3].map(|index| fleet.add_engine(index, "chat-a", "v2", PACE));
    for engine in &old {
        fleet.register(engine, 1);
    }
    let record = Arc::clone(&fleet.record);
    let store = Arc::clone(&fleet.store);
    if !fleet.start_all() {
        record.tell("the routers did not become ready".to_owned());
        record.write(record_path);
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    store.copy();
    record.line("the store's copy is made".to_owned());
    thread::sleep(Duration::from_millis(500));
    for engine in &new {
        fleet.register(engine, 1);
    }
    thread::sleep(Duration::from_millis(500));
    if trouble == "outage" {
        record.line("the store goes away".to_owned());
        store.set_away();
    }
    let fronts = [fleet.front(0), fleet.front(1)];
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                thread::sleep(BEGIN_TIME * number as u32 / CLIENTS as u32);
                receive_stream(number, fronts, &record)
            })
        })
        .collect();
    thread::sleep(BEGIN_TIME);
    if trouble == "outage" {
        play_outage(&mut fleet, &new);
    } else if trouble != "0" {
        record.line("the store goes away".to_owned());
        store.set_away();
        thread::sleep(KILLED_AFTER);
        if trouble != "drill" {
            fleet.kill(0);
            fleet.kill(1);
        }
        thread::sleep(AWAY - KILLED_AFTER);
        store.come_back_from_copy();
        record.line("the store is back from the copy, in the next era".to_owned());
        store.put("keyed.op", "config", Some(&configuration(7, "chat-a")));
        if trouble != "drill" {
            fleet.start(0);
            fleet.start(1);
        }
        thread::sleep(WRITTEN_AGAIN_AFTER);
        for engine in old.iter().chain(&new) {
            fleet.register(engine, 2);
        }
    }
    let mut totals = Totals::default();
    for (number, thread) in threads.into_iter().enumerate() {
        let text = totals.add(&thread.join().expect("clients don't panic"));
        record.line(format!("stream {number}: {text}"));
    }
    record.tell(format!(
        "{} streams, {} taken up, {} complete; {} are joined from two versions, {} are out of order or \
         end too early",
        totals.streams, totals.take_ups, totals.complete, totals.joined, totals.disordered
    ));
    record.write(record_path);
    if totals.joined + totals.disordered > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Kills the routers at the end of an outage in which entries have expired.
fn play_outage(fleet: &mut Fleet, new: &[Engine]) {
    thread::sleep(OUTAGE - BEGIN_TIME - KILLED_AFTER);
    fleet.kill(0);
    fleet.kill(1);
    thread::sleep(KILLED_AFTER);
    for engine in new {
        fleet.store.put("keyed.servers", &engine.id, None);
    }
    fleet.store.come_back();
    fleet.record.line("the store is back without the entries of the new engines".to_owned());
    fleet.start(0);
    fleet.start(1);
    thread::sleep(WRITTEN_AGAIN_AFTER);
    for engine in new {
        fleet.register(engine, 2);
    }
}
