//! Locates semantic faults in the file and drops those that only result from another fault.

use wisteriaford_core::validation::EntryField;
use wisteriaford_core::validation::ErrorPath;
use wisteriaford_core::validation::ValidationError;
use wisteriaford_core::validation::ValidationErrorKind;
use wisteriaford_core::validation::validate;

use crate::configuration_file::FileFault;
use crate::configuration_file::FileFaultKind;
use crate::configuration_file::reader::EntrySpans;
use crate::configuration_file::reader::FieldKey;
use crate::configuration_file::reader::ParsedFile;
use crate::location::LineIndex;

/// Fields that cross-reference checks between entries depend on.
const REFERENCE_FIELDS: [&str; 5] = ["name", "pool", "kind", "model", "leaving"];

/// Validates the parsed configuration and returns its semantic faults with their locations.
pub(super) fn faults(lines: &LineIndex<'_>, parsed: &ParsedFile) -> Vec<FileFault> {
    validate(&parsed.configuration)
        .into_iter()
        .filter(|fault| !is_consequential(parsed, fault))
        .map(|fault| FileFault {
            location: lines.location(fault_offset(parsed, &fault.path)),
            kind: FileFaultKind::Semantic {
                path: fault.path.to_string(),
                kind: fault.kind,
            },
        })
        .collect()
}

/// Returns whether a fault only results from a value that could not be parsed, either its own
/// or one that it refers to.
fn is_consequential(parsed: &ParsedFile, fault: &ValidationError) -> bool {
    let affects_references = |field: &FieldKey| REFERENCE_FIELDS.contains(&field.field.as_str());
    let references_are_readable =
        !parsed.has_syntax_faults && !parsed.unreadable_fields.iter().any(affects_references);
    if is_cross_reference(&fault.kind) && !references_are_readable {
        return true;
    }
    let Some(entry) = &fault.path.entry else {
        return !parsed.faults.is_empty();
    };
    let key = FieldKey {
        section: fault.path.section,
        index: entry.index,
        field: entry.field.to_owned(),
    };
    let is_absent = field_offset(parsed, &fault.path, entry).is_none();
    parsed.unreadable_fields.contains(&key) || (parsed.has_syntax_faults && is_absent)
}

/// Returns whether a fault concerns the relation between two entries.
fn is_cross_reference(kind: &ValidationErrorKind) -> bool {
    match kind {
        ValidationErrorKind::UnknownPool { .. }
        | ValidationErrorKind::KindMismatch { .. }
        | ValidationErrorKind::NoEndpoints
        | ValidationErrorKind::FloorForbidsLoads { .. }
        | ValidationErrorKind::RouteToEngines { .. } => true,
        ValidationErrorKind::Empty
        | ValidationErrorKind::TooMany { .. }
        | ValidationErrorKind::BadName { .. }
        | ValidationErrorKind::InvalidPathSegment { .. }
        | ValidationErrorKind::DuplicateName { .. }
        | ValidationErrorKind::DuplicateAddress { .. }
        | ValidationErrorKind::BadAddress { .. }
        | ValidationErrorKind::OutOfRange { .. }
        | ValidationErrorKind::UnknownValue { .. }
        | ValidationErrorKind::ZoneInTwoRegions { .. }
        | ValidationErrorKind::ContradictoryRoute => false,
    }
}

/// Returns the byte offset of the faulty field. Falls back to its entry if the field is absent, to
/// the first entry if the fault concerns the whole section, and else to the start of the file.
fn fault_offset(parsed: &ParsedFile, path: &ErrorPath) -> usize {
    let Some(entry) = &path.entry else {
        let mut section_spans = parsed.spans.iter().filter(|s| s.section == path.section);
        return section_spans.next().map_or(0, |spans| spans.entry.start);
    };
    field_offset(parsed, path, entry)
        .or_else(|| entry_spans(parsed, path, entry).map(|spans| spans.entry.start))
        .unwrap_or(0)
}

fn field_offset(parsed: &ParsedFile, path: &ErrorPath, entry: &EntryField) -> Option<usize> {
    let spans = entry_spans(parsed, path, entry)?;
    let mut fields = spans.fields.iter();
    let (_, span) = fields.find(|(name, _)| name == entry.field)?;
    Some(span.start)
}

fn entry_spans<'a>(
    parsed: &'a ParsedFile,
    path: &ErrorPath,
    entry: &EntryField,
) -> Option<&'a EntrySpans> {
    let mut section_spans = parsed.spans.iter().filter(|s| s.section == path.section);
    section_spans.nth(entry.index)
}
