//! Recognises a request that its client sends again: each attempt has an id of its own, so what the request asks for
//! has to tell.

use samphiregrade_http::wire::RequestHead;
use smol_str::SmolStr;

use crate::access::CallerIdentity;
use crate::model::{RequestMetadata, RequestTag};

/// Returns the hash of everything that a client repeats with each attempt of a request: who asks, for which program and
/// after which turn, and the method, target and body that it sends.
///
/// What differs between attempts is left out: ids, deadlines, and the event after which a stream is taken up.
#[must_use]
pub fn request_tag(
    caller: &CallerIdentity,
    head: &RequestHead,
    metadata: &RequestMetadata,
    body: &[u8],
) -> RequestTag {
    let host = head.fields.text("host").unwrap_or_default();
    let text = |id: &Option<SmolStr>| id.clone().unwrap_or_default();
    let mut hasher = blake3::Hasher::new();
    let mut add = |part: &[u8]| {
        // The lengths keep parts apart whose concatenations are equal.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    };
    add(caller.scoped_id("").as_bytes());
    add(text(&metadata.program).as_bytes());
    add(text(&metadata.session).as_bytes());
    add(text(&metadata.previous_turn).as_bytes());
    add(text(&metadata.affinity).as_bytes());
    add(host.as_bytes());
    add(&head.method);
    add(&head.target);
    for part in &metadata.prompt {
        add(&part.tag.to_le_bytes());
    }
    add(body);
    let mut tag = [0; 8];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    RequestTag::from_le_bytes(tag)
}
