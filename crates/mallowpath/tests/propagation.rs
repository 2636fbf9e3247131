//! Distribution of the configuration: confirmed ages, and the choice of a peer to fetch from.

use mallowpath::{ConfigHeartbeat, FleetConfig, HostId, IniDocument, Offset, Propagation};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, prop_assert, proptest},
    test_runner::RngSeed,
};

const PROCESSES: usize = 3;

/// An answer in transit to a process, with the time at which the query was sent.
enum Answer {
    Log {
        end: Offset,
        asked_at_ms: u64,
    },
    Peer {
        from: usize,
        heartbeat: ConfigHeartbeat,
        asked_at_ms: u64,
    },
}

fn host(index: usize) -> HostId {
    format!("r{index}").parse().expect("a name")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Guards against a process that reports a confirmation although it lacks an older record, as
    /// delayed and reordered answers could cause.
    ///
    /// Steps: 0 appends a record, 1 queries the log, 2 queries a peer, 3 delivers an answer in any
    /// order, 4 copies the records of a peer that is ahead. Each process has a clock of its own.
    #[test]
    fn a_confirmed_process_holds_all_records_of_that_time(
        steps in vec((0..5_u8, 0..PROCESSES, 0..100_u64), 0..120),
        clock_starts_ms in vec(0..500_u64, PROCESSES),
    ) {
        let mut appended_at_ms = Vec::new();
        let mut held = [0; PROCESSES];
        let mut states = vec![Propagation::default(); PROCESSES];
        let mut pending: Vec<(usize, Answer)> = Vec::new();
        let mut now_ms = 500;
        for (step, process, random) in steps {
            now_ms += random;
            let asked_at_ms = now_ms - clock_starts_ms[process];
            let other = (process + 1 + usize::from(random % 2 == 0)) % PROCESSES;
            let end = u64::try_from(appended_at_ms.len()).expect("small");
            match step {
                0 => appended_at_ms.push(now_ms),
                1 => pending.push((process, Answer::Log { end: Offset(end), asked_at_ms })),
                2 => {
                    let heartbeat = states[other].heartbeat(now_ms - clock_starts_ms[other]);
                    pending.push((process, Answer::Peer { from: other, heartbeat, asked_at_ms }));
                }
                3 if !pending.is_empty() => {
                    let index = usize::try_from(random).expect("small") % pending.len();
                    match pending.remove(index) {
                        (to, Answer::Log { end, asked_at_ms }) => {
                            if random % 3 > 0 {
                                held[to] = held[to].max(end.0);
                                states[to].advance_to(end);
                            }
                            states[to].record_log_end(end, asked_at_ms);
                        }
                        (to, Answer::Peer { from, heartbeat, asked_at_ms }) => {
                            states[to].record_peer_heartbeat(&host(from), heartbeat, asked_at_ms);
                        }
                    }
                }
                _ => {
                    if let Some(peer) = states[process].peer_to_fetch_from(random) {
                        let from = (0..PROCESSES).find(|index| host(*index) == *peer);
                        let next = held[from.expect("known peer")];
                        prop_assert!(next > held[process]);
                        held[process] = next;
                        states[process].advance_to(Offset(next));
                    }
                }
            }
            for (index, state) in states.iter().enumerate() {
                let Some(age_ms) = state.confirmed_age_ms(now_ms - clock_starts_ms[index]) else {
                    continue;
                };
                let required_count = appended_at_ms.iter().filter(|at_ms| **at_ms + age_ms < now_ms).count();
                prop_assert!(held[index] >= u64::try_from(required_count).expect("small"));
            }
        }
    }
}

#[test]
fn an_unconfirmed_configuration_serves_or_refuses_as_the_workspace_sets() {
    let mut document = IniDocument::default();
    let text = "[fleet]\nunconfirmed_after_ms = 5000
[workspace a]\nbudget = a\nhome_region = r\nwhen_unconfirmed = refuse
[workspace b]\nbudget = b\nhome_region = r\n[budget a]\nworkspace = a\ntokens = 1
[budget b]\nworkspace = b\ntokens = 1\n";
    document.merge_text("a.ini", text);
    let (fleet, _) = FleetConfig::from_document(&document).expect("valid configuration");
    let mut state = Propagation::default();
    let serves = |state: &Propagation, now_ms| {
        let admit = |name: &str| {
            let workspace = &fleet.workspaces[&name.parse().expect("a name")];
            state.serves(workspace, &fleet.rules, now_ms)
        };
        (admit("a"), admit("b"))
    };
    assert_eq!(serves(&state, 0), (false, true));
    state.record_log_end(Offset(0), 1_000);
    assert_eq!(serves(&state, 6_000), (true, true));
    assert_eq!(serves(&state, 6_001), (false, true));
    let fresh = ConfigHeartbeat {
        next: 0,
        confirmed_age_ms: Some(100),
    };
    state.record_peer_heartbeat(&host(1), fresh, 6_000);
    assert_eq!(serves(&state, 6_001), (true, true));
}

#[test]
fn fetches_are_distributed_over_the_peers_that_are_ahead() {
    let mut state = Propagation::default();
    state.advance_to(Offset(5));
    for (index, next) in [(0, 4), (1, 6), (2, 9), (3, 5)] {
        state.record_peer_heartbeat(
            &host(index),
            ConfigHeartbeat {
                next,
                confirmed_age_ms: None,
            },
            0,
        );
    }
    assert_eq!(state.peer_to_fetch_from(0), Some(&host(1)));
    assert_eq!(state.peer_to_fetch_from(1), Some(&host(2)));
    state.remove_peer(&host(1));
    assert_eq!(state.peer_to_fetch_from(0), Some(&host(2)));
    state.advance_to(Offset(9));
    assert_eq!(state.peer_to_fetch_from(0), None);
}

#[test]
fn a_confirmation_from_before_the_start_of_the_clock_is_ignored() {
    let mut state = Propagation::default();
    let old = ConfigHeartbeat {
        next: 0,
        confirmed_age_ms: Some(60_000),
    };
    state.record_peer_heartbeat(&host(1), old, 1_000);
    assert_eq!(state.confirmed_age_ms(1_000), None);
}
