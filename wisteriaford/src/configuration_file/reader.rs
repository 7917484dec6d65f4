//! Reading of sections, entries and fields, each on its own, so that no fault hides another.

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
use crate::place::Lines;

const LEAST_SIMILARITY: f64 = 0.7;

/// Sections of a file, by the names that they have there.
const SECTIONS: [Section; 4] = [
    Section::Pools,
    Section::Endpoints,
    Section::Callers,
    Section::Routes,
];

/// Field of an entry of a section.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct FieldKey {
    pub(super) section: Section,
    pub(super) index: usize,
    pub(super) field: String,
}

/// Where an entry and its fields stand, in bytes.
#[derive(Clone, Debug)]
pub(super) struct EntrySpans {
    pub(super) section: Section,
    pub(super) entry: Range<usize>,
    pub(super) fields: Vec<(String, Range<usize>)>,
}

/// What a file says.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadFile {
    pub(super) configuration: Configuration,
    pub(super) faults: Vec<FileFault>,
    pub(super) spans: Vec<EntrySpans>,
    pub(super) unread_fields: HashSet<FieldKey>,
    pub(super) has_syntax_faults: bool,
}

/// Reads a text as far as it can be read.
pub(super) fn read(text: &str, lines: &Lines<'_>) -> ReadFile {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader {
        lines,
        read: ReadFile {
            has_syntax_faults: !errors.is_empty(),
            ..ReadFile::default()
        },
    };
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        let message = error.message().to_owned();
        reader.fault(offset, FileFaultKind::Syntax { message });
    }
    for (key, value) in document.get_ref() {
        reader.section(key, value);
    }
    reader.read
}

struct Reader<'a> {
    lines: &'a Lines<'a>,
    read: ReadFile,
}

impl Reader<'_> {
    fn section(&mut self, key: &Spanned<std::borrow::Cow<'_, str>>, value: &Spanned<DeValue<'_>>) {
        let name = key.get_ref().as_ref();
        let Some(section) = SECTIONS.into_iter().find(|s| s.to_string() == name) else {
            let known = SECTIONS.map(|section| section.to_string());
            let kind = FileFaultKind::UnknownSection {
                section: name.to_owned(),
                suggestion: nearest(name, &known),
            };
            return self.fault(key.span().start, kind);
        };
        match section {
            Section::Pools => self.read.configuration.pools = self.entries(section, value),
            Section::Endpoints => self.read.configuration.endpoints = self.entries(section, value),
            Section::Callers => self.read.configuration.callers = self.entries(section, value),
            Section::Routes => self.read.configuration.routes = self.entries(section, value),
        }
    }

    fn entries<T: Default + Serialize + DeserializeOwned + prost::Message>(
        &mut self,
        section: Section,
        value: &Spanned<DeValue<'_>>,
    ) -> Vec<T> {
        let DeValue::Array(array) = value.get_ref() else {
            self.not_tables(section, value.span().start);
            return Vec::new();
        };
        let known = field_names::<T>();
        let mut entries = Vec::new();
        for item in array {
            if let DeValue::Table(table) = item.get_ref() {
                entries.push(self.entry(section, entries.len(), item.span(), table, &known));
            } else {
                self.not_tables(section, item.span().start);
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
                    suggestion: nearest(field, known),
                };
                self.fault(key.span().start, kind);
                continue;
            }
            match read_field::<T>(key, value) {
                Ok(part) => merge(&mut entry, &part),
                Err(error) => self.wrong_type(section, index, field, value, &error),
            }
        }
        self.read.spans.push(spans);
        entry
    }

    fn wrong_type(
        &mut self,
        section: Section,
        index: usize,
        field: &str,
        value: &Spanned<DeValue<'_>>,
        error: &toml::de::Error,
    ) {
        self.read.unread_fields.insert(FieldKey {
            section,
            index,
            field: field.to_owned(),
        });
        let kind = FileFaultKind::WrongType {
            entry: format!("{section}[{index}]"),
            field: field.to_owned(),
            message: error.message().to_owned(),
        };
        self.fault(value.span().start, kind);
    }

    fn not_tables(&mut self, section: Section, offset: usize) {
        let section = section.to_string();
        self.fault(offset, FileFaultKind::NotTables { section });
    }

    fn fault(&mut self, offset: usize, kind: FileFaultKind) {
        let place = self.lines.place(offset);
        self.read.faults.push(FileFault { place, kind });
    }
}

/// Reads an entry that has one field.
fn read_field<T: DeserializeOwned>(
    key: &Spanned<std::borrow::Cow<'_, str>>,
    value: &Spanned<DeValue<'_>>,
) -> Result<T, toml::de::Error> {
    let mut table = DeTable::new();
    table.insert(key.clone(), value.clone());
    let table = Spanned::new(value.span(), table);
    T::deserialize(toml::de::Deserializer::from(table))
}

/// Adds a field that was read on its own; fields at their defaults take no bytes and change nothing.
fn merge<T: prost::Message>(entry: &mut T, part: &T) {
    let merged = entry.merge(part.encode_to_vec().as_slice());
    debug_assert!(merged.is_ok(), "a message reads what it wrote");
}

fn field_names<T: Default + Serialize>() -> Vec<String> {
    let value = serde_json::to_value(T::default()).unwrap_or_default();
    let fields = value.as_object().into_iter().flatten();
    fields.map(|(name, _)| name.clone()).collect()
}

fn nearest(name: &str, known: &[String]) -> Option<String> {
    let similarity = |other: &String| strsim::jaro_winkler(name, other);
    let best = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= LEAST_SIMILARITY).then(|| best.clone())
}
