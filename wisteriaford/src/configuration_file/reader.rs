//! Parses sections, entries and fields independently, so that one fault does not hide another.

use std::collections::HashSet;
use std::ops::Range;

use serde::Serialize;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use wisteriaford_core::validation::Section;
use wisteriaford_proto::settings::Configuration;

use crate::configuration_file::FileFault;
use crate::configuration_file::FileFaultKind;
use crate::location::LineIndex;

/// Minimum Jaro-Winkler similarity for a name to be suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Sections that a file may contain, under their displayed names.
const SECTIONS: [Section; 4] = [
    Section::Pools,
    Section::Endpoints,
    Section::Callers,
    Section::Routes,
];

/// Identifies a field by its section, the index of its entry and its name.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct FieldKey {
    pub(super) section: Section,
    pub(super) index: usize,
    pub(super) field: String,
}

/// Byte ranges of an entry and its fields.
#[derive(Clone, Debug)]
pub(super) struct EntrySpans {
    pub(super) section: Section,
    pub(super) entry: Range<usize>,
    pub(super) fields: Vec<(String, Range<usize>)>,
}

/// Parsed file, with the faults found while parsing.
#[derive(Clone, Debug, Default)]
pub(super) struct ParsedFile {
    pub(super) configuration: Configuration,
    pub(super) faults: Vec<FileFault>,
    pub(super) spans: Vec<EntrySpans>,
    pub(super) unreadable_fields: HashSet<FieldKey>,
    pub(super) has_syntax_faults: bool,
}

/// Parses as much of a text as possible and collects the faults.
pub(super) fn parse(text: &str, lines: &LineIndex<'_>) -> ParsedFile {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader {
        lines,
        file: ParsedFile {
            has_syntax_faults: !errors.is_empty(),
            ..ParsedFile::default()
        },
    };
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        let message = error.message().to_owned();
        reader.record_fault(offset, FileFaultKind::Syntax { message });
    }
    for (key, value) in document.get_ref() {
        reader.section(key, value);
    }
    reader.file
}

struct Reader<'a> {
    lines: &'a LineIndex<'a>,
    file: ParsedFile,
}

impl Reader<'_> {
    fn section(&mut self, key: &Spanned<std::borrow::Cow<'_, str>>, value: &Spanned<DeValue<'_>>) {
        let name = key.get_ref().as_ref();
        let Some(section) = SECTIONS.into_iter().find(|s| s.to_string() == name) else {
            let known = SECTIONS.map(|section| section.to_string());
            let kind = FileFaultKind::UnknownSection {
                section: name.to_owned(),
                suggestion: closest_name(name, &known),
            };
            return self.record_fault(key.span().start, kind);
        };
        match section {
            Section::Pools => self.file.configuration.pools = self.entries(section, value),
            Section::Endpoints => self.file.configuration.endpoints = self.entries(section, value),
            Section::Callers => self.file.configuration.callers = self.entries(section, value),
            Section::Routes => self.file.configuration.routes = self.entries(section, value),
        }
    }

    fn entries<T: Default + Serialize + DeserializeOwned + prost::Message>(
        &mut self,
        section: Section,
        value: &Spanned<DeValue<'_>>,
    ) -> Vec<T> {
        let DeValue::Array(array) = value.get_ref() else {
            self.record_not_array_of_tables(section, value.span().start);
            return Vec::new();
        };
        let known = field_names::<T>();
        let mut entries = Vec::new();
        for item in array {
            if let DeValue::Table(table) = item.get_ref() {
                entries.push(self.entry(section, entries.len(), item.span(), table, &known));
            } else {
                self.record_not_array_of_tables(section, item.span().start);
            }
        }
        entries
    }

    fn entry<T: Default + DeserializeOwned + prost::Message>(
        &mut self,
        section: Section,
        index: usize,
        span: Range<usize>,
        table: &DeTable<'_>,
        known: &[String],
    ) -> T {
        let mut entry = T::default();
        let mut spans = EntrySpans {
            section,
            entry: span,
            fields: Vec::new(),
        };
        for (key, value) in table {
            let field = key.get_ref().as_ref();
            spans.fields.push((field.to_owned(), value.span()));
            if !known.iter().any(|name| name == field) {
                let kind = FileFaultKind::UnknownField {
                    entry: format!("{section}[{index}]"),
                    field: field.to_owned(),
                    suggestion: closest_name(field, known),
                };
                self.record_fault(key.span().start, kind);
                continue;
            }
            match read_field::<T>(key, value) {
                Ok(parsed) => merge(&mut entry, &parsed),
                Err(error) => self.record_wrong_type(section, index, field, value, &error),
            }
        }
        self.file.spans.push(spans);
        entry
    }

    fn record_wrong_type(
        &mut self,
        section: Section,
        index: usize,
        field: &str,
        value: &Spanned<DeValue<'_>>,
        error: &toml::de::Error,
    ) {
        self.file.unreadable_fields.insert(FieldKey {
            section,
            index,
            field: field.to_owned(),
        });
        let kind = FileFaultKind::WrongType {
            entry: format!("{section}[{index}]"),
            field: field.to_owned(),
            message: error.message().to_owned(),
        };
        self.record_fault(value.span().start, kind);
    }

    fn record_not_array_of_tables(&mut self, section: Section, offset: usize) {
        let section = section.to_string();
        self.record_fault(offset, FileFaultKind::NotArrayOfTables { section });
    }

    fn record_fault(&mut self, offset: usize, kind: FileFaultKind) {
        let location = self.lines.location(offset);
        self.file.faults.push(FileFault { location, kind });
    }
}

/// Deserializes an entry from a table that holds only one field.
fn read_field<T: DeserializeOwned>(
    key: &Spanned<std::borrow::Cow<'_, str>>,
    value: &Spanned<DeValue<'_>>,
) -> Result<T, toml::de::Error> {
    let mut table = DeTable::new();
    table.insert(key.clone(), value.clone());
    let table = Spanned::new(value.span(), table);
    T::deserialize(toml::de::Deserializer::from(table))
}

/// Merges an entry with a single field set into `entry`. Fields at their defaults are not encoded
/// and therefore leave `entry` unchanged.
fn merge<T: prost::Message>(entry: &mut T, field: &T) {
    let merged = entry.merge(field.encode_to_vec().as_slice());
    debug_assert!(merged.is_ok(), "an encoded message must decode");
}

fn field_names<T: Default + Serialize>() -> Vec<String> {
    let value = serde_json::to_value(T::default()).unwrap_or_default();
    let fields = value.as_object().into_iter().flatten();
    fields.map(|(name, _)| name.clone()).collect()
}

fn closest_name(name: &str, known: &[String]) -> Option<String> {
    let similarity = |other: &String| strsim::jaro_winkler(name, other);
    let best = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= MIN_SIMILARITY).then(|| best.clone())
}
