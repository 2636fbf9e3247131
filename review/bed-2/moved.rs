//! All routers are killed right after the configuration has moved a route to another service.

use crate::{Verdict, client::Attempt, engine::STRIDE, fleet::Fleet, record::Record};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const CLIENTS: usize = 60;
pub const EVENTS: u64 = 40;
pub const PACE: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(8);
const ROUNDS: u32 = 5;
/// The time before a round, which is longer by a step each time.
const CALM: Duration = Duration::from_millis(3_000);
const ROUND_STEP: Duration = Duration::from_millis(230);
/// The time over which the clients begin their streams.
const BEGIN_TIME: Duration = Duration::from_secs(2);
const KILLED_AFTER: Duration = Duration::from_millis(100);
const DOWN_TIME: Duration = Duration::from_secs(1);

pub fn configuration(version: u64, service: &str) -> String {
    let service_entry = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":370,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slot-count\":64,\
             \"kv-capacity-tokens\":294699,\"stride\":{STRIDE},\"models\":[{{\"name\":\"m\"}}]}}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"chat\",\"host\":\"review.example\",\
         \"path-prefix\":\"/chat/\",\"route-type\":\"streaming\",\"timeout-ms\":8000,\
         \"target-latency-ms\":500,\"priority\":2,\"service\":\"{service}\",\"max-attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":500}}],\
         \"services\":[{},{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-w\",\"api-keys\":[\"key-w\"],\"priority\":1,\
         \"prepaid\":9000000}}]}}",
        service_entry("chat-a"),
        service_entry("chat-b")
    )
}

/// The streams of all rounds.
#[derive(Default)]
pub struct Totals {
    pub streams: u32,
    pub take_ups: u32,
    pub complete: u32,
    /// Those with events of several services or versions.
    pub joined: u32,
    /// Those with events out of order, or complete without their last event.
    pub disordered: u32,
}

impl Totals {
    /// Counts a stream and describes it.
    pub fn add(&mut self, received: &Received) -> String {
        let source = |data: &str| data.rsplit_once('/').map_or(String::new(), |(source, _)| source.to_owned());
        let mut sources: Vec<String> = received.events.iter().map(|(_, data)| source(data)).collect();
        sources.dedup();
        let numbers = received.events.iter().map(|(number, _)| *number);
        let is_ordered = numbers.eq(1..=received.events.len() as u64);
        let is_whole = received.events.len() as u64 == EVENTS;
        self.streams += 1;
        self.take_ups += received.take_ups;
        self.complete += u32::from(received.is_complete);
        self.joined += u32::from(sources.len() > 1);
        self.disordered += u32::from(!is_ordered || (received.is_complete && !is_whole));
        format!(
            "{} events of {sources:?}, complete: {}",
            received.events.len(),
            received.is_complete
        )
    }
}

/// What a client has received of its stream, over all its attempts.
#[derive(Default)]
pub struct Received {
    pub events: Vec<(u64, String)>,
    pub is_complete: bool,
    pub take_ups: u32,
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
}

pub fn play(trouble: &str, record_path: &str) -> Verdict {
    let mut fleet = Fleet::new(2, 110);
    fleet.store.put("keyed.op", "config", Some(&configuration(7, "chat-a")));
    for index in 0..4 {
        let (service, version) = if index < 2 { ("chat-a", "v1") } else { ("chat-b", "v2") };
        let engine = fleet.add_engine(index, service, version, PACE);
        fleet.register(&engine, 1);
    }
    let record = Arc::clone(&fleet.record);
    if !fleet.start_all() {
        record.tell("the routers did not become ready".to_owned());
        record.write(record_path);
        return Verdict::NotRun;
    }
    let mut totals = Totals::default();
    for round in 0..ROUNDS {
        // The routers write at intervals of a second, so that the moment of the kill matters.
        thread::sleep(CALM + ROUND_STEP * round);
        play_round(round, &mut fleet, trouble, &mut totals);
    }
    let Totals {
        streams,
        take_ups,
        complete,
        joined,
        disordered,
    } = totals;
    record.tell(format!(
        "{streams} streams in {ROUNDS} rounds, {take_ups} taken up, {complete} complete; {joined} are \
         joined from two services of two versions, {disordered} are out of order or end too early"
    ));
    record.write(record_path);
    if joined + disordered > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Moves the route to the other service while clients receive streams, and kills the routers.
fn play_round(round: u32, fleet: &mut Fleet, trouble: &str, totals: &mut Totals) {
    let record = Arc::clone(&fleet.record);
    let fronts = [fleet.front(0), fleet.front(1)];
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = Arc::clone(&record);
            let stream = (round as usize) << 8 | number;
            thread::spawn(move || {
                thread::sleep(BEGIN_TIME * number as u32 / CLIENTS as u32);
                receive_stream(stream, fronts, &record)
            })
        })
        .collect();
    thread::sleep(BEGIN_TIME);
    let version = 9 + 2 * u64::from(round);
    let service = if round % 2 == 0 { "chat-b" } else { "chat-a" };
    let moved = configuration(version, service);
    fleet.store.put("keyed.op", "config", Some(&moved));
    record.line(format!("version {version} moves the route to {service}, acknowledged"));
    if trouble != "0" {
        thread::sleep(KILLED_AFTER);
        for router in 0..2 {
            fleet.kill(router);
        }
        thread::sleep(DOWN_TIME);
        for router in 0..2 {
            fleet.start(router);
        }
    }
    for (number, thread) in threads.into_iter().enumerate() {
        let received = thread.join().expect("clients don't panic");
        let text = totals.add(&received);
        record.line(format!("round {round}, stream {number}: {text}"));
    }
}

/// Receives a stream; takes it up after the last event if its connection breaks.
pub fn receive_stream(number: usize, fronts: [SocketAddr; 2], record: &Record) -> Received {
    let until = Instant::now() + DEADLINE;
    let mut received = Received::default();
    for attempt_number in 0.. {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(200) {
            break;
        }
        let attempt = Attempt {
            id: format!("{:016x}", (number << 16) + attempt_number + 1),
            path: "/chat/2f",
            key: "key-w",
            deadline_ms: left.as_millis() as u64,
            tokens: Some((500, EVENTS * STRIDE)),
            last_event_id: received.events.last().map(|(number, _)| *number),
            resumes: received.first_attempt.clone(),
            body_bytes: 100,
        };
        let answer = attempt.send(fronts[(number + attempt_number) % 2], record);
        if answer.status == Some(200) && attempt.last_event_id.is_some() {
            received.take_ups += 1;
        }
        if received.events.is_empty() && !answer.events.is_empty() {
            received.first_attempt = Some(attempt.id.clone());
        }
        received.events.extend(answer.events);
        if answer.status == Some(200) && answer.is_complete {
            received.is_complete = true;
            break;
        }
        let wait = answer.retry_after.unwrap_or(Duration::from_millis(200));
        thread::sleep(wait.min(left / 3));
    }
    received
}
