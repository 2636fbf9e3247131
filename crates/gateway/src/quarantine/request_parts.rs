//! The parts of requests as the quarantine knows them.

use crate::request::{CallerRequest, PromptPart};
use http::{request, uri::PathAndQuery};
use mallowpath::{PartId, SegmentedBody, WorkspaceId};

/// The maximum number of parts of one prompt that are looked at.
const PARTS_MAX: usize = 16;

/// Returns the parts of a request: those of its prompt that other prompts may have in common, which
/// are all but the last, and the whole request.
pub(crate) fn request_parts(prompt: &[PromptPart], request: PartId) -> Vec<PartId> {
    let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut parts = Vec::with_capacity(shared.len().min(PARTS_MAX) + 1);
    for part in shared.iter().take(PARTS_MAX) {
        parts.push(PartId::of_text(part.id));
    }
    parts.push(request);
    parts
}

/// Returns the identifier of a whole request: that of the same caller with the same path, prompt and
/// body.
pub(crate) fn request_id(
    head: &request::Parts,
    caller_request: &CallerRequest,
    workspace: Option<&WorkspaceId>,
    body: &SegmentedBody,
) -> PartId {
    let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let mut prompt = Vec::with_capacity(caller_request.prompt.len() * 8);
    for part in &caller_request.prompt {
        prompt.extend_from_slice(&part.id.to_le_bytes());
    }
    let fields = [
        workspace.map_or("", WorkspaceId::as_str).as_bytes(),
        head.method.as_str().as_bytes(),
        caller_request.host.as_bytes(),
        path.as_bytes(),
        &prompt,
    ];
    PartId::of_request_with_body(&fields, body)
}

/// Returns the names of parts, separated by commas.
pub(super) fn part_list(parts: &[PartId]) -> String {
    let names: Vec<String> = parts.iter().map(PartId::to_string).collect();
    names.join(",")
}
