//! The parts of prompts as the quarantine knows them.

use crate::request::PromptPart;
use mallowpath::{PartId, rendezvous_key};

/// The maximum number of parts of one prompt that are looked at.
const PARTS_MAX: usize = 16;

/// Returns the parts of a prompt that other prompts may have in common: all but the last.
pub(crate) fn shared_part_ids(prompt: &[PromptPart]) -> Vec<PartId> {
    let Some((_, shared)) = prompt.split_last() else {
        return Vec::new();
    };
    let mut parts = Vec::with_capacity(shared.len().min(PARTS_MAX));
    for part in shared.iter().take(PARTS_MAX) {
        parts.push(PartId(part.id));
    }
    parts
}

/// Returns a hash of all parts of a prompt.
pub(crate) fn prompt_hash(prompt: &[PromptPart]) -> u64 {
    let parts: Vec<PartId> = prompt.iter().map(|part| PartId(part.id)).collect();
    rendezvous_key(&part_list(&parts))
}

/// Returns the names of parts, separated by commas.
pub(super) fn part_list(parts: &[PartId]) -> String {
    let names: Vec<String> = parts.iter().map(PartId::to_string).collect();
    names.join(",")
}
