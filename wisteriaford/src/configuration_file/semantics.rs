//! Places of semantic faults, without those that only follow from a fault of another kind.

use wisteriaford_core::validation::Entry;
use wisteriaford_core::validation::Fault;
use wisteriaford_core::validation::FaultKind;
use wisteriaford_core::validation::FaultPath;
use wisteriaford_core::validation::validate;

use crate::configuration_file::FileFault;
use crate::configuration_file::FileFaultKind;
use crate::configuration_file::reader::EntrySpans;
use crate::configuration_file::reader::FieldKey;
use crate::configuration_file::reader::ReadFile;
use crate::place::Lines;

/// Fields by which entries refer to each other.
const REFERRING_FIELDS: [&str; 5] = ["name", "pool", "kind", "model", "leaving"];

/// Returns the semantic faults of what was read.
pub(super) fn faults(lines: &Lines<'_>, read: &ReadFile) -> Vec<FileFault> {
    validate(&read.configuration)
        .into_iter()
        .filter(|fault| !follows_from_another(read, fault))
        .map(|fault| FileFault {
            place: lines.place(offset(read, &fault.path)),
            kind: FileFaultKind::Semantic {
                path: fault.path.to_string(),
                kind: fault.kind,
            },
        })
        .collect()
}

/// Returns whether the value at fault could not be read, or refers to one that could not.
fn follows_from_another(read: &ReadFile, fault: &Fault) -> bool {
    let unread = |field: &FieldKey| REFERRING_FIELDS.contains(&field.field.as_str());
    let references_hold = !read.has_syntax_faults && !read.unread_fields.iter().any(unread);
    if refers(&fault.kind) && !references_hold {
        return true;
    }
    let Some(entry) = &fault.path.entry else {
        return !read.faults.is_empty();
    };
    let key = FieldKey {
        section: fault.path.section,
        index: entry.index,
        field: entry.field.to_owned(),
    };
    let is_absent = field_offset(read, &fault.path, entry).is_none();
    read.unread_fields.contains(&key) || (read.has_syntax_faults && is_absent)
}

/// Returns whether a fault is about how two entries fit together.
fn refers(kind: &FaultKind) -> bool {
    match kind {
        FaultKind::UnknownPool { .. }
        | FaultKind::KindMismatch { .. }
        | FaultKind::NoEndpoints
        | FaultKind::FloorForbidsLoads { .. }
        | FaultKind::RouteToEngines { .. } => true,
        FaultKind::Empty
        | FaultKind::TooMany { .. }
        | FaultKind::BadName { .. }
        | FaultKind::NotInPath { .. }
        | FaultKind::DuplicateName { .. }
        | FaultKind::DuplicateAddress { .. }
        | FaultKind::BadAddress { .. }
        | FaultKind::OutOfRange { .. }
        | FaultKind::UnknownValue { .. }
        | FaultKind::ZoneInTwoRegions { .. }
        | FaultKind::ContradictoryRoute => false,
    }
}

/// Returns the first byte of the field at fault, of its entry where the field is left out, or of
/// the file where the section is.
fn offset(read: &ReadFile, path: &FaultPath) -> usize {
    let Some(entry) = &path.entry else {
        let mut of_section = read.spans.iter().filter(|s| s.section == path.section);
        return of_section.next().map_or(0, |spans| spans.entry.start);
    };
    field_offset(read, path, entry)
        .or_else(|| entry_spans(read, path, entry).map(|spans| spans.entry.start))
        .unwrap_or(0)
}

fn field_offset(read: &ReadFile, path: &FaultPath, entry: &Entry) -> Option<usize> {
    let spans = entry_spans(read, path, entry)?;
    let mut fields = spans.fields.iter();
    let (_, span) = fields.find(|(name, _)| name == entry.field)?;
    Some(span.start)
}

fn entry_spans<'a>(read: &'a ReadFile, path: &FaultPath, entry: &Entry) -> Option<&'a EntrySpans> {
    let mut of_section = read.spans.iter().filter(|s| s.section == path.section);
    of_section.nth(entry.index)
}
