//! Fingerprints of the gateway's requests, which are the same for all repeats of a request.

use crate::gateway::job::ItemSpec;
use crate::gateway::job::JobHead;
use crate::hash::hash_parts;
use crate::id::Fingerprint;

/// Returns the fingerprint of a call.
///
/// `path` includes the query. Header fields don't count: ids and deadlines differ between repeats.
#[must_use]
pub fn call_fingerprint(method: &str, host: &str, path: &str, body: &[u8]) -> Fingerprint {
    Fingerprint(hash_parts(&[
        method.as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        body,
    ]))
}

/// Returns the fingerprint of an item of a batch job, which is the same in a later batch job.
#[must_use]
pub fn item_fingerprint(job: &JobHead, item: &ItemSpec) -> Fingerprint {
    call_fingerprint("POST", &job.host, &item.path, &item.body)
}
