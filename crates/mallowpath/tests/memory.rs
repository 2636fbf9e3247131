//! Decisions on the memory and the connections of a process, and what messages occupy.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use mallowpath::{
    BodyError, BufferBudget, BufferId, BufferKind, BufferTable, CallerId, ConnectionAdmission,
    ConnectionLimiter, ConnectionTable, FrameCodec, Growth, HostLimits, MemorySize, SegmentedBody,
    Segments, UnreadAnswer, WriteTimeout, read_body,
};
use proptest::prelude::*;
use std::{io, net::Ipv4Addr, time::Duration};
use tokio::{io::AsyncWriteExt, time::timeout};
use tokio_util::codec::{Decoder, Encoder};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Time after which an unfinished message of which nothing more arrives may have to make room.
const STALLED_MS: u64 = 1_000;

/// Time without progress after which an answer may have to make room for a smaller one.
const PAUSES_MS: u64 = 200;

fn caller(name: &str) -> CallerId {
    CallerId::of(name.as_bytes())
}

/// Opens a buffer that has grown to `bytes`.
fn open(table: &mut BufferTable, name: &str, kind: BufferKind, bytes: usize) -> BufferId {
    let id = table.open(caller(name), kind, 0);
    assert_eq!(table.grow(id, bytes, 0), Growth::Granted, "{name}");
    id
}

/// What is held, and by how much a new buffer may grow beside it, of 16 MiB.
struct GrowthCase {
    what: &'static str,
    held: &'static [(&'static str, BufferKind, usize)],
    wanted: (&'static str, BufferKind),
    max_bytes: usize,
}

#[test]
fn buffers_grow_up_to_their_limits() {
    use BufferKind::{Answer, Arriving, Whole};
    let cases = [
        GrowthCase {
            what: "a lone message has everything",
            held: &[],
            wanted: ("a", Arriving),
            max_bytes: 16 * MIB,
        },
        GrowthCase {
            what: "large messages leave a quarter",
            held: &[("b", Whole, 6 * MIB)],
            wanted: ("a", Arriving),
            max_bytes: 6 * MIB,
        },
        GrowthCase {
            what: "one caller has half",
            held: &[("a", Whole, 6 * MIB)],
            wanted: ("a", Arriving),
            max_bytes: 2 * MIB,
        },
        GrowthCase {
            what: "a short message fits beside large ones",
            held: &[("b", Whole, 6 * MIB), ("c", Whole, 6 * MIB)],
            wanted: ("a", Arriving),
            max_bytes: 64 * KIB,
        },
        GrowthCase {
            what: "also of a caller who has half",
            held: &[("a", Whole, 4 * MIB), ("a", Whole, 4 * MIB)],
            wanted: ("a", Arriving),
            max_bytes: 64 * KIB,
        },
        GrowthCase {
            what: "an answer has what large messages leave",
            held: &[("b", Whole, 6 * MIB), ("c", Whole, 6 * MIB)],
            wanted: ("a", Answer),
            max_bytes: 4 * MIB,
        },
        GrowthCase {
            what: "a whole message counts as one that arrives",
            held: &[("b", Arriving, 6 * MIB)],
            wanted: ("a", Whole),
            max_bytes: 6 * MIB,
        },
    ];
    for case in cases {
        let mut table = BufferTable::new(16 * MIB);
        for &(name, kind, bytes) in case.held {
            open(&mut table, name, kind, bytes);
        }
        let (name, kind) = case.wanted;
        let id = table.open(caller(name), kind, 0);
        let refused = table.grow(id, case.max_bytes + 1, 0);
        assert_eq!(refused, Growth::Refused, "{}", case.what);
        let granted = table.grow(id, case.max_bytes, 0);
        assert_eq!(granted, Growth::Granted, "{}", case.what);
    }
}

#[test]
fn stalled_messages_make_room_those_of_the_largest_holder_first() {
    let mut table = BufferTable::new(16 * MIB);
    let small = open(&mut table, "small", BufferKind::Arriving, 2 * MIB);
    let first = open(&mut table, "large", BufferKind::Arriving, 4 * MIB);
    let second = open(&mut table, "large", BufferKind::Arriving, 4 * MIB);
    let new = table.open(caller("new"), BufferKind::Arriving, 0);
    assert_eq!(table.grow(new, 4 * MIB, STALLED_MS - 1), Growth::Refused);
    let evicted = table.grow(new, 4 * MIB, STALLED_MS);
    assert_eq!(evicted, Growth::AfterEviction(vec![first]));
    // Nobody else has to make room while the first one does.
    let evicted = table.grow(new, 4 * MIB, STALLED_MS);
    assert_eq!(evicted, Growth::AfterEviction(vec![]));
    assert_eq!(table.grow(first, 1, STALLED_MS), Growth::Refused);
    table.close(first);
    assert_eq!(table.grow(new, 4 * MIB, STALLED_MS), Growth::Granted);
    let evicted = table.grow(new, 3 * MIB, STALLED_MS);
    assert_eq!(evicted, Growth::AfterEviction(vec![second]));
    table.close(second);
    table.close(small);
    table.close(new);
    assert_eq!(table.used_bytes(), 0);
}

#[test]
fn messages_that_arrive_or_are_whole_make_no_room() {
    let mut table = BufferTable::new(16 * MIB);
    let arriving = open(&mut table, "a", BufferKind::Arriving, 6 * MIB);
    let whole = open(&mut table, "b", BufferKind::Arriving, 6 * MIB);
    table.set_kind(whole, BufferKind::Whole, 0);
    table.record_progress(arriving, 16 * KIB, STALLED_MS);
    let new = table.open(caller("new"), BufferKind::Arriving, 0);
    assert_eq!(table.grow(new, MIB, 2 * STALLED_MS - 1), Growth::Refused);
    // A few bytes now and then are no progress.
    table.record_progress(arriving, 1, 2 * STALLED_MS - 1);
    let evicted = table.grow(new, MIB, 2 * STALLED_MS);
    assert_eq!(evicted, Growth::AfterEviction(vec![arriving]));
    // It became whole just before it was given up.
    table.set_kind(arriving, BufferKind::Whole, 2 * STALLED_MS);
    assert_eq!(table.grow(new, MIB, 9 * STALLED_MS), Growth::Refused);
}

#[test]
fn answers_that_nobody_reads_make_room_after_unfinished_messages() {
    const UNREAD_MS: u64 = 2_000;
    let mut table = BufferTable::new(16 * MIB);
    let answer = open(&mut table, "a", BufferKind::Answer, 8 * MIB);
    let new = table.open(caller("new"), BufferKind::Whole, 0);
    assert_eq!(table.grow(new, 6 * MIB, 10 * UNREAD_MS), Growth::Refused);
    table.set_kind(answer, BufferKind::Unread, 0);
    let stalled = open(&mut table, "b", BufferKind::Arriving, 2 * MIB);
    assert_eq!(table.grow(new, 6 * MIB, UNREAD_MS - 1), Growth::Refused);
    let evicted = table.grow(new, 6 * MIB, UNREAD_MS);
    assert_eq!(evicted, Growth::AfterEviction(vec![stalled, answer]));
}

#[test]
fn answers_that_pause_make_room_for_smaller_ones() {
    let mut table = BufferTable::new(16 * MIB);
    let large = open(&mut table, "a", BufferKind::Unread, 9 * MIB);
    let small = open(&mut table, "b", BufferKind::Unread, 7 * MIB);
    assert_eq!(table.grow(large, KIB, PAUSES_MS), Growth::Refused);
    assert_eq!(table.grow(small, KIB, PAUSES_MS - 1), Growth::Refused);
    table.record_progress(large, 16 * KIB, 1);
    assert_eq!(table.grow(small, KIB, PAUSES_MS), Growth::Refused);
    let evicted = table.grow(small, KIB, PAUSES_MS + 1);
    assert_eq!(evicted, Growth::AfterEviction(vec![large]));
    table.grow_ahead(small, 9 * MIB, PAUSES_MS + 1);
    assert_eq!(table.grow(small, KIB, PAUSES_MS + 1), Growth::Refused);
    table.close(large);
    assert_eq!(table.used_bytes(), 16 * MIB);
}

#[tokio::test]
async fn parts_of_an_answer_are_held_until_they_are_passed_on() {
    let budget = BufferBudget::new(64 * KIB);
    let limiter = ConnectionLimiter::new("callers", 2);
    let slot = limiter.admit().await.expect("there is room");
    let request = budget.open(caller("a"), BufferKind::Whole);
    let answer = UnreadAnswer::new(request.open_answer(&slot));
    let mut parts = Vec::new();
    for used_bytes in [0, 0, 16 * KIB, 16 * KIB, 16 * KIB, 16 * KIB, 32 * KIB] {
        parts.push(answer.hold(4 * KIB));
        assert_eq!(budget.used_bytes(), used_bytes, "{} parts", parts.len());
    }
    parts.truncate(2);
    assert_eq!(budget.used_bytes(), 0);
}

#[tokio::test]
async fn answer_without_memory_has_its_connection_closed() {
    let budget = BufferBudget::new(64 * KIB);
    let limiter = ConnectionLimiter::new("callers", 2);
    let slot = limiter.admit().await.expect("there is room");
    let request = budget.open(caller("a"), BufferKind::Whole);
    let answer = UnreadAnswer::new(request.open_answer(&slot));
    let whole = answer.hold(64 * KIB);
    let aborted = timeout(Duration::ZERO, slot.aborted()).await;
    assert!(aborted.is_err(), "there was memory");
    let more = answer.hold(16 * KIB);
    slot.aborted().await;
    assert_eq!(budget.used_bytes(), 64 * KIB);
    drop((whole, more));
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn nobody_makes_room_in_vain() {
    let mut table = BufferTable::new(16 * MIB);
    open(&mut table, "whole", BufferKind::Whole, 10 * MIB);
    let stalled = open(&mut table, "stalled", BufferKind::Arriving, 2 * MIB);
    let new = table.open(caller("new"), BufferKind::Arriving, 0);
    assert_eq!(table.grow(new, 5 * MIB, STALLED_MS), Growth::Refused);
    assert_eq!(table.grow(stalled, 1, STALLED_MS), Growth::Refused);
    table.shrink(stalled, MIB);
    assert_eq!(table.grow(stalled, 1, STALLED_MS), Growth::Granted);
}

proptest! {
    #[test]
    fn buffers_never_exceed_the_limit(
        steps in prop::collection::vec((0_u8..5, 0_usize..8, 0_usize..6 * MIB, 0_u64..900), 1..200),
    ) {
        let mut table = BufferTable::new(16 * MIB);
        let mut held: Vec<Option<(BufferId, usize)>> = vec![None; 8];
        let mut now_ms = 0;
        for (step, place, bytes, wait_ms) in steps {
            now_ms += wait_ms;
            match (step, held[place]) {
                (_, None) => {
                    let kind = [BufferKind::Arriving, BufferKind::Whole, BufferKind::Answer][place % 3];
                    let id = table.open(caller(["a", "b", "c"][place % 3]), kind, now_ms);
                    held[place] = Some((id, 0));
                }
                (0, Some((id, _))) => {
                    table.close(id);
                    held[place] = None;
                }
                (1, Some((id, held_bytes))) => {
                    table.shrink(id, bytes);
                    held[place] = Some((id, held_bytes.min(bytes)));
                }
                (_, Some((id, held_bytes))) => {
                    if table.grow(id, bytes, now_ms) == Growth::Granted {
                        held[place] = Some((id, held_bytes + bytes));
                    }
                }
            }
            let sum: usize = held.iter().flatten().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(table.used_bytes(), sum);
            prop_assert!(sum <= table.max_bytes());
        }
    }
}

#[test]
fn connection_that_has_waited_longest_is_closed_for_a_new_one() {
    let mut table = ConnectionTable::new(2);
    let ConnectionAdmission::Admitted(first) = table.admit(1) else {
        panic!("there is room");
    };
    let ConnectionAdmission::Admitted(second) = table.admit(2) else {
        panic!("there is room");
    };
    assert!(!table.set_busy(first));
    let closed = ConnectionAdmission::AfterClosing(Some(second));
    assert_eq!(table.admit(3), closed);
    assert_eq!(table.admit(3), ConnectionAdmission::AfterClosing(None));
    // A request came just before the connection was closed for another one.
    assert!(table.set_busy(second));
    table.restart_wait(second, 4);
    assert_eq!(table.admit(4), ConnectionAdmission::Refused);
    table.set_waiting(first, 5);
    assert_eq!(
        table.admit(6),
        ConnectionAdmission::AfterClosing(Some(first))
    );
    table.remove(first);
    assert!(matches!(table.admit(7), ConnectionAdmission::Admitted(_)));
    assert_eq!(table.len(), 2);
}

#[tokio::test]
async fn limiter_admits_a_connection_once_another_is_closed_for_it() {
    let limiter = ConnectionLimiter::new("test", 1);
    let first = limiter.admit().await.unwrap();
    let busy = first.busy();
    assert!(limiter.admit().await.is_none());
    drop(busy);
    let closing = tokio::spawn(async move { first.replaced().await });
    assert!(limiter.admit().await.is_some());
    closing.await.unwrap();
    limiter.all_closed().await;
}

#[test]
fn segments_hold_little_more_than_the_message() {
    // The length, whether it is announced, the size of its frames, and the most that may be reserved.
    let cases = [
        (0, true, 1, 0),
        (1, true, 1, 1),
        (100 * KIB, true, 7, 100 * KIB),
        (100 * KIB, false, 7, 112 * KIB),
        (100 * KIB, false, 64 * KIB, 112 * KIB),
        (4 * MIB, false, 16, 4 * MIB + 16 * KIB),
    ];
    for (length, is_announced, frame, reserved_max) in cases {
        let content: Vec<u8> = (0..=250).cycle().take(length).collect();
        let mut segments = Segments::new(is_announced.then_some(length));
        let mut reserved = 0;
        for frame in content.chunks(frame) {
            let mut data = Bytes::copy_from_slice(frame);
            while !data.is_empty() {
                if segments.needs_segment() {
                    reserved += segments.add_segment(data.len());
                }
                segments.fill(&mut data);
            }
        }
        assert!(reserved <= reserved_max, "{reserved} for {length}");
        let body = segments.finish();
        assert_eq!(body.len(), length);
        assert_eq!(body.into_bytes(), content);
    }
}

#[tokio::test]
async fn body_is_read_within_its_limits() {
    let budget = BufferBudget::new(MIB);
    let buffer = budget.open(caller("a"), BufferKind::Arriving);
    let body = SegmentedBody::from(Bytes::from(vec![b'x'; 300 * KIB]));
    let read = read_body(body.clone(), 300 * KIB, &buffer).await.unwrap();
    assert_eq!(read.len(), 300 * KIB);
    assert!(budget.used_bytes() >= 300 * KIB);
    drop(buffer);
    assert_eq!(budget.used_bytes(), 0);
    // The announced length is known before anything is read.
    let buffer = budget.open(caller("a"), BufferKind::Arriving);
    let too_large = read_body(body.clone(), 300 * KIB - 1, &buffer).await;
    assert!(matches!(too_large, Err(BodyError::TooLarge)));
    let taken = budget.open(caller("b"), BufferKind::Whole);
    taken.grow(700 * KIB).await.unwrap();
    let refused = read_body(body, MIB, &buffer).await;
    assert!(matches!(refused, Err(BodyError::NoMemory)));
}

#[tokio::test]
async fn body_that_makes_room_is_given_up() {
    let budget = BufferBudget::new(MIB);
    let stalled = budget.open(caller("a"), BufferKind::Arriving);
    stalled.grow(600 * KIB).await.unwrap();
    // Its body never arrives.
    let body = Full::new(Bytes::from_static(b"x")).with_trailers(std::future::pending());
    let reading = tokio::spawn(async move {
        let result = read_body(body.boxed(), MIB, &stalled).await;
        matches!(result, Err(BodyError::NoMemory))
    });
    tokio::time::sleep(Duration::from_millis(STALLED_MS + 100)).await;
    let new = budget.open(caller("b"), BufferKind::Arriving);
    new.grow(600 * KIB).await.unwrap();
    assert!(reading.await.unwrap());
}

#[test]
fn frames_are_held_only_while_there_is_memory() {
    let budget = BufferBudget::new(MIB);
    let peer = Ipv4Addr::LOCALHOST.into();
    let mut first = FrameCodec::new(4 * MIB).within(&budget, peer);
    let mut src = BytesMut::new();
    first
        .encode(Bytes::from(vec![0; 500 * KIB]), &mut src)
        .unwrap();
    let mut rest = src.split_off(400 * KIB);
    assert!(first.decode(&mut src).unwrap().is_none());
    let held_bytes = budget.used_bytes();
    assert!(
        (400 * KIB..=500 * KIB).contains(&held_bytes),
        "{held_bytes}"
    );
    let mut second = FrameCodec::new(4 * MIB).within(&budget, peer);
    let mut other = BytesMut::zeroed(700 * KIB);
    other[..4].copy_from_slice(&(900_u32 << 10).to_be_bytes());
    let error = second.decode(&mut other).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::Other);
    src.unsplit(std::mem::take(&mut rest));
    assert_eq!(first.decode(&mut src).unwrap().unwrap().len(), 500 * KIB);
    assert_eq!(budget.used_bytes(), 0);
    assert!(first.decode(&mut src).unwrap().is_none());
    assert_eq!(budget.used_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn write_to_a_peer_that_reads_nothing_fails() {
    let (near, far) = tokio::io::duplex(16);
    let slot = ConnectionLimiter::new("test", 1).admit().await.unwrap();
    let mut stream = WriteTimeout::new(near, Duration::from_secs(5), &slot);
    stream.write_all(&[0; 16]).await.unwrap();
    assert!(!slot.is_busy());
    let error = stream.write_all(&[0; 1]).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    drop(far);
}

#[test]
fn limits_leave_room_for_what_the_pages_allow() {
    // The least memory of a host, the descriptors, and the connections of callers and processes there.
    let cases = [
        (88, 4_100, 1_100, 300),
        (110, 4_100, 1_100, 300),
        (120, 3_075, 1_400, 300),
        (160, 4_100, 1_900, 300),
    ];
    for (mib, descriptors_max, callers, peers) in cases {
        let limits = HostLimits {
            memory: MemorySize::from_mib(mib),
            descriptors_max,
        };
        assert!(limits.callers_max() >= callers, "{mib} MiB");
        assert!(limits.peers_max() >= peers, "{mib} MiB");
        assert!(limits.buffer_max_bytes() >= 4 * (4 << 20), "{mib} MiB");
    }
    assert_eq!("110".parse(), Ok(MemorySize::from_mib(110)));
    assert_eq!(MemorySize::from_mib(110).to_string(), "110");
    for text in ["", "0", "-1", "inf", "x"] {
        assert!(text.parse::<MemorySize>().is_err(), "{text}");
    }
}
