//! Prints the memory of a process that loads a configuration with 61,000 budgets from a checkpoint.
//!
//! `config_memory write FILE` writes the checkpoint and `config_memory load FILE` loads it. The
//! commands run in separate processes, so that the peak is that of loading alone.

use bytes::Bytes;
use mallowpath::{
    Change, ChangeId, ConfigLoader, ConfigRecord, ConfigState, IniDocument, Offset, Sections,
    Version, diff, sections_of_document,
};
use prost::Message;
use std::{env, fmt::Write, fs, process::ExitCode};

const BUDGETS: u32 = 61_000;
const WORKSPACES: u32 = 1_400;
const BUDGETS_PER_CHANGE: usize = 10_000;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["write", file] => write(file),
        ["load", file] => load(file),
        _ => {
            eprintln!("usage: config_memory write|load FILE");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

fn write(file: &str) {
    let mut text = String::new();
    for n in 0..WORKSPACES {
        writeln!(
            text,
            "[workspace workspace-{n}]\nbudget = budget-{n}\nhome_region = region-{}\nservices = *\n\
             key_sha256 = {n:064x}",
            n % 4
        )
        .expect("writing to a string does not fail");
    }
    for n in 0..BUDGETS {
        writeln!(
            text,
            "[budget budget-{n}]\nworkspace = workspace-{}\ntokens = {n}_000",
            n % WORKSPACES
        )
        .expect("writing to a string does not fail");
    }
    let mut document = IniDocument::default();
    document.merge_text("fleet.ini", &text);
    let state = replay(&sections_of_document(&document));
    let mut bytes = Vec::new();
    for part in state.checkpoint() {
        bytes.extend(ConfigRecord::from(part).encode_length_delimited_to_vec());
    }
    fs::write(file, bytes).expect("the file can be written");
}

/// Builds the state from changes of a bounded size; the first sets all sections that later ones
/// refer to.
fn replay(sections: &Sections) -> ConfigState {
    let mut state = ConfigState::default();
    let mut delta = diff(&Sections::new(), sections);
    let is_referred_to = |section: &mallowpath::Section| {
        let number = section.name.rsplit('-').next().and_then(|n| n.parse().ok());
        &*section.kind == "workspace" || number.is_some_and(|n: u32| n < WORKSPACES)
    };
    delta.set.sort_by_key(|section| !is_referred_to(section));
    while !delta.set.is_empty() {
        let rest = delta.set.split_off(delta.set.len().min(BUDGETS_PER_CHANGE));
        let id = ChangeId(state.next().0);
        let change = Change::new(id, state.version(), "ann", 0, &delta);
        state
            .apply(state.next(), &change.into())
            .expect("the offset is next");
        delta.set = rest;
    }
    assert!(state.version() > Version(0));
    state
}

fn load(file: &str) {
    let before_kb = status_kb("VmRSS:");
    let mut bytes = Bytes::from(fs::read(file).expect("the file can be read"));
    let mut loader = ConfigLoader::new(Offset(0));
    let mut state = None;
    while state.is_none() {
        let record = ConfigRecord::decode_length_delimited(&mut bytes).expect("a record");
        state = loader.push(&record);
    }
    let budgets = state
        .as_ref()
        .map_or(0, |state| state.fleet().budgets.len());
    drop((bytes, loader));
    println!(
        "{budgets} budgets: {} kB resident, {} kB at the peak, {before_kb} kB before",
        status_kb("VmRSS:"),
        status_kb("VmHWM:"),
    );
}

fn status_kb(field: &str) -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    line.and_then(|line| line.trim().strip_suffix(" kB"))
        .and_then(|kb| kb.parse().ok())
        .unwrap_or_default()
}
