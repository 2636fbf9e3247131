//! Replay of the configuration stream with racing publishers, repeated appends and checkpoints.

use mallowpath::{
    Change, ChangeId, ConfigEntry, ConfigLoader, ConfigOutcome, ConfigRecord, ConfigState, Delta,
    FleetConfig, IniDocument, Offset, RejectReason, ReplayError, Sections, Version, diff,
    sections_of_document,
};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use prost::Message;
use std::{collections::BTreeSet, sync::Arc};

/// The value of a step whose change fails validation.
const INVALID_VALUE: u8 = 9;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    }
}

fn sections(text: &str) -> Sections {
    let mut document = IniDocument::default();
    document.merge_text("a.ini", text);
    sections_of_document(&document)
}

fn change(id: u64, base: Version, author: &str, text: &str) -> ConfigRecord {
    let delta = diff(&Sections::new(), &sections(text));
    Change::new(ChangeId(id), base, author, 0, &delta).into()
}

fn replay(mut state: ConfigState, log: &[ConfigRecord]) -> (ConfigState, Vec<ConfigOutcome>) {
    let mut outcomes = Vec::new();
    for (offset, record) in (0..).map(Offset).zip(log) {
        if offset < state.next() {
            continue;
        }
        outcomes.push(state.apply(offset, record).expect("the next record"));
    }
    (state, outcomes)
}

/// Builds a log from the steps of two publishers: 0 reads the log, 1 publishes a change, 2 repeats
/// the last append, 3 appends a checkpoint of the state read, 4 appends bytes that can't be decoded.
fn build_log(steps: &[(usize, u8, u8)]) -> Vec<ConfigRecord> {
    let mut log = Vec::new();
    let mut seen = [ConfigState::default(), ConfigState::default()];
    let mut last: [Option<ConfigRecord>; 2] = [None, None];
    for (id, (publisher, step, value)) in (1..).zip(steps) {
        match step {
            0 => seen[*publisher] = replay(seen[*publisher].clone(), &log).0,
            1 => {
                let text = match *value {
                    INVALID_VALUE => "[fleet]\nleave_within_ms = never".to_owned(),
                    value => format!("[service s{value}]\ntimeout_ms = {id}"),
                };
                let record = change(
                    id,
                    seen[*publisher].version(),
                    ["ann", "bo"][*publisher],
                    &text,
                );
                last[*publisher] = Some(record.clone());
                log.push(record);
            }
            2 => log.extend(last[*publisher].clone()),
            3 => log.extend(
                seen[*publisher]
                    .checkpoint()
                    .into_iter()
                    .map(ConfigRecord::from),
            ),
            _ => log.push(ConfigRecord::decode_or_void(b"\xff\xff")),
        }
    }
    log
}

fn is_valid(change: &Change) -> bool {
    change.set.iter().all(|section| section.kind != "fleet")
}

const HEADERS: [&str; 9] = [
    "fleet",
    "fleet x",
    "workspace a",
    "workspace b",
    "budget a",
    "budget b",
    "service a",
    "backend a",
    "other a",
];

/// Returns the text of a section that may refer to others, or `None` if it is to be removed.
fn generate_section(header: &str, choice: u8) -> Option<String> {
    let name = ["a", "b"][usize::from(choice % 2)];
    let entries = match (choice / 2, header.split(' ').next()) {
        (0, _) => return None,
        (_, Some("fleet")) => format!("leave_within_ms = {choice}"),
        (1, Some("workspace")) => format!("budget = {name}\nhome_region = r\nservices = a"),
        (_, Some("workspace")) => {
            format!("budget = {name}\nhome_region = r\nkey_sha256 = {:064}", 1)
        }
        (_, Some("budget")) => format!("workspace = {name}\ntokens = {choice}"),
        (_, Some("backend")) => "service = a".to_owned(),
        _ => String::new(),
    };
    Some(format!("[{header}]\n{entries}\n"))
}

fn generate_change(id: u64, base: Version, choices: &[(usize, u8)]) -> ConfigRecord {
    let mut set = String::new();
    let mut removed = String::new();
    for (header, choice) in choices {
        match generate_section(HEADERS[*header], *choice) {
            Some(text) => set += &text,
            None => removed += &["[", HEADERS[*header], "]\n"].concat(),
        }
    }
    let delta = Delta {
        set: sections(&set).into_values().collect(),
        removed: sections(&removed).into_keys().collect(),
    };
    Change::new(ChangeId(id), base, "ann", 0, &delta).into()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_024, ..config() })]

    /// Guards against incremental validation that accepts or rejects a change differently from
    /// [`FleetConfig::from_sections`] on the whole configuration.
    #[test]
    fn incremental_validation_equals_that_of_the_whole_configuration(
        changes in vec(vec((0..HEADERS.len(), 0..6_u8), 1..6), 1..30),
    ) {
        let mut state = ConfigState::default();
        for choices in changes {
            let offset = state.next();
            let record = generate_change(offset.0, state.version(), &choices);
            let mut expected = state.sections().clone();
            let Some(ConfigEntry::Change(change)) = &record.entry else {
                continue;
            };
            for name in &change.removed {
                expected.remove(&name.into());
            }
            for section in change.set.iter().map(mallowpath::Section::from) {
                expected.insert(section.section_name(), section);
            }
            let before = Arc::clone(state.fleet());
            let outcome = state.apply(offset, &record).expect("the next record");
            if let Ok(fleet) = FleetConfig::from_sections(&expected) {
                prop_assert!(matches!(outcome, ConfigOutcome::Accepted(_)));
                prop_assert_eq!(&**state.fleet(), &fleet);
            } else {
                let is_invalid =
                    matches!(outcome, ConfigOutcome::Rejected { reason: RejectReason::Invalid(_), .. });
                prop_assert!(is_invalid);
                prop_assert_eq!(state.fleet(), &before);
            }
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn one_winner_per_version(steps in vec((0..2_usize, 0..5_u8, 0..=INVALID_VALUE), 0..60)) {
        let log = build_log(&steps);
        let (state, outcomes) = replay(ConfigState::default(), &log);
        let mut version = 0;
        let mut ids = BTreeSet::new();
        let mut expected = Sections::new();
        for (offset, (record, outcome)) in (0..).zip(log.iter().zip(&outcomes)) {
            let Some(ConfigEntry::Change(change)) = &record.entry else {
                prop_assert!(!matches!(outcome, ConfigOutcome::Accepted(_) | ConfigOutcome::Duplicate(_)));
                continue;
            };
            if !ids.insert(change.id) {
                prop_assert!(matches!(outcome, ConfigOutcome::Duplicate(_)));
                continue;
            }
            if change.base_version != version || !is_valid(change) {
                let is_rejected = matches!(outcome, ConfigOutcome::Rejected { version: v, .. } if v.0 == version);
                prop_assert!(is_rejected);
                continue;
            }
            version = offset + 1;
            prop_assert_eq!(outcome, &ConfigOutcome::Accepted(Version(version)));
            for section in &change.set {
                let section = mallowpath::Section::from(section);
                expected.insert(section.section_name(), section);
            }
        }
        prop_assert_eq!(state.version(), Version(version));
        prop_assert_eq!(state.sections(), &expected);
    }

    #[test]
    fn any_checkpoint_gives_the_same_state(
        steps in vec((0..2_usize, 0..5_u8, 0..=INVALID_VALUE), 0..40),
        cut in 0..40_usize,
    ) {
        let log = build_log(&steps);
        let cut = cut.min(log.len());
        let (whole, outcomes) = replay(ConfigState::default(), &log);
        let (prefix, _) = replay(ConfigState::default(), &log[..cut]);
        let mut loader = ConfigLoader::new(prefix.next());
        let mut loaded = None;
        for part in prefix.checkpoint() {
            let bytes = ConfigRecord::from(part).encode_to_vec();
            loaded = loader.push(&ConfigRecord::decode_or_void(&bytes));
        }
        let (state, later) = replay(loaded.expect("complete checkpoint"), &log);
        prop_assert_eq!(state.state_hash(), whole.state_hash());
        prop_assert_eq!(later.as_slice(), &outcomes[cut..]);
        prop_assert_eq!(state, whole);
    }

    #[test]
    fn a_version_never_reverts(
        steps in vec((0..2_usize, 0..5_u8, 0..=INVALID_VALUE), 0..40),
        deliveries in vec(0..40_u64, 0..200),
    ) {
        let log = build_log(&steps);
        let mut state = ConfigState::default();
        for offset in deliveries.into_iter().map(Offset) {
            let Some(record) = usize::try_from(offset.0).ok().and_then(|index| log.get(index)) else {
                continue;
            };
            let before = state.clone();
            match state.apply(offset, record) {
                Ok(_) => prop_assert!(state.version() >= before.version()),
                Err(error) => {
                    prop_assert_eq!(
                        error,
                        ReplayError::OutOfOrder { expected: before.next(), found: offset }
                    );
                    prop_assert_eq!(&state, &before);
                }
            }
        }
        let next = usize::try_from(state.next().0).expect("small offset");
        prop_assert_eq!(state, replay(ConfigState::default(), &log[..next]).0);
    }
}

#[test]
fn a_rejected_change_reports_the_version_in_force_and_its_author() {
    let log = [
        change(1, Version(0), "ann", "[service a]"),
        change(2, Version(0), "bo", "[service b]"),
        change(1, Version(0), "ann", "[service a]"),
    ];
    let lost = ConfigOutcome::Rejected {
        reason: RejectReason::OtherBase(Version(0)),
        author: "ann".into(),
        version: Version(1),
    };
    let (_, outcomes) = replay(ConfigState::default(), &log);
    assert_eq!(
        outcomes,
        [
            ConfigOutcome::Accepted(Version(1)),
            lost,
            ConfigOutcome::Duplicate(Some(Version(1)))
        ]
    );
}

#[test]
fn a_delta_contains_only_sections_that_differ() {
    let old = sections("[service a]\n[service b]\ntimeout_ms = 1\n[service c]");
    let new = sections("[service a]\n[service b]\ntimeout_ms = 2\n[service d]");
    let Delta { set, removed } = diff(&old, &new);
    let set: Vec<String> = set
        .iter()
        .map(|section| section.section_name().to_string())
        .collect();
    assert_eq!(set, ["service b", "service d"]);
    assert_eq!(
        removed.iter().map(ToString::to_string).collect::<Vec<_>>(),
        ["service c"]
    );
    assert!(diff(&new, &new).is_empty());
}

fn large_state() -> ConfigState {
    let mut text = "[workspace w]\nbudget = b0\nhome_region = r\n".to_owned();
    for index in 0..20_000 {
        text += "[budget b";
        text += &index.to_string();
        text += "]\nworkspace = w\ntokens = 5M\n";
    }
    replay(
        ConfigState::default(),
        &[change(1, Version(0), "ann", &text)],
    )
    .0
}

#[test]
fn a_large_checkpoint_is_loaded_from_parts_in_any_order() {
    const MAX_RECORD_BYTES: usize = 1024 * 1024;
    let state = large_state();
    let parts = state.checkpoint();
    assert!(parts.len() > 1);
    let mut loader = ConfigLoader::new(state.next());
    let mut loaded = None;
    for part in parts.into_iter().rev() {
        assert!(part.encoded_len() < MAX_RECORD_BYTES);
        assert_eq!(loaded, None);
        loaded = loader.push(&part.into());
    }
    assert_eq!(loaded, Some(state));
}

#[test]
fn loading_fails_without_the_beginning_or_a_complete_checkpoint() {
    let state = large_state();
    let mut damaged = state.checkpoint();
    damaged[0].sections.pop();
    let missing = &state.checkpoint()[1..];
    for (first, parts) in [
        (1, damaged.as_slice()),
        (1, missing),
        (2, &state.checkpoint()),
    ] {
        let mut loader = ConfigLoader::new(Offset(first));
        for part in parts {
            assert_eq!(loader.push(&part.clone().into()), None);
        }
        assert_eq!(
            loader.finish(),
            Err(ReplayError::MissingStart {
                first: Offset(first)
            })
        );
    }
    assert_eq!(
        ConfigLoader::new(Offset(0)).finish(),
        Ok(ConfigState::default())
    );
}
