//! Parses configuration files and reports every fault with its line and column.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use wisteriaford_core::validation::ValidationErrorKind;
use wisteriaford_proto::settings::Configuration;

use crate::location::LineIndex;
use crate::location::Location;

mod reader;
mod semantics;

/// Maximum size of a configuration file, in bytes.
pub const MAX_FILE_LEN_BYTES: u64 = 16 << 20;

/// Error while reading a file as text.
#[derive(Debug, Display, Error)]
pub enum FileError {
    /// The file cannot be opened or read.
    #[display("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The file is larger than [`MAX_FILE_LEN_BYTES`].
    #[display("{} has {len_bytes} bytes, the limit is {MAX_FILE_LEN_BYTES}", path.display())]
    TooLarge {
        /// Path of the file.
        path: PathBuf,
        /// Size of the file, in bytes.
        len_bytes: u64,
    },
    /// The file is not valid UTF-8.
    #[display("{}:{location}: the file is not valid UTF-8", path.display())]
    NotUtf8 {
        /// Path of the file.
        path: PathBuf,
        /// Location of the first invalid byte.
        location: Location,
    },
}

/// Kind of a fault in a configuration file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FileFaultKind {
    /// The text is not valid TOML.
    #[display("{message}")]
    Syntax {
        /// Message of the TOML parser.
        message: String,
    },
    /// A section is not written as an array of tables.
    #[display("`{section}` must be written as [[{section}]], once per entry")]
    NotArrayOfTables {
        /// Name of the section.
        section: String,
    },
    /// The section does not exist.
    #[display("unknown section `{section}`{}", hint(suggestion.as_deref()))]
    UnknownSection {
        /// Name found in the file.
        section: String,
        /// Most similar known name.
        suggestion: Option<String>,
    },
    /// The field does not exist in this section.
    #[display("{entry}: unknown field `{field}`{}", hint(suggestion.as_deref()))]
    UnknownField {
        /// Entry, such as `pools[0]`.
        entry: String,
        /// Name found in the file.
        field: String,
        /// Most similar known name.
        suggestion: Option<String>,
    },
    /// The value has the wrong type or is out of range for the type.
    #[display("{entry} {field}: {message}")]
    WrongType {
        /// Entry, such as `pools[0]`.
        entry: String,
        /// Name of the field.
        field: String,
        /// Message of the deserializer.
        message: String,
    },
    /// The value is not valid in this configuration.
    #[display("{path}: {kind}")]
    Semantic {
        /// Path of the value, such as `pools[0] "restoration" queue_limit`.
        path: String,
        /// Kind of the validation fault.
        kind: ValidationErrorKind,
    },
}

impl FileFaultKind {
    /// Returns a stable, machine-readable code.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Syntax { .. } => "syntax",
            Self::NotArrayOfTables { .. } => "not_tables",
            Self::UnknownSection { .. } => "unknown_section",
            Self::UnknownField { .. } => "unknown_field",
            Self::WrongType { .. } => "wrong_type",
            Self::Semantic { .. } => "semantic",
        }
    }
}

/// Fault in a configuration file and its location.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{location}: {kind}")]
pub struct FileFault {
    /// Location of the fault.
    pub location: Location,
    /// Kind of the fault.
    pub kind: FileFaultKind,
}

/// Configuration parsed from a file, with all faults found in it.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedFile {
    /// Configuration, without the parts that could not be parsed.
    pub configuration: Configuration,
    /// Faults, sorted by location.
    pub faults: Vec<FileFault>,
}

impl CheckedFile {
    /// Parses and validates the text of a file.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        let lines = LineIndex::new(text);
        let mut parsed = reader::parse(text, &lines);
        let semantic = semantics::faults(&lines, &parsed);
        parsed.faults.extend(semantic);
        parsed.faults.sort_by_key(|fault| fault.location);
        Self {
            configuration: parsed.configuration,
            faults: parsed.faults,
        }
    }

    /// Reads, parses and validates a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is too large or is not valid UTF-8.
    pub fn open(path: &Path) -> Result<Self, FileError> {
        Ok(Self::from_text(&read_text(path)?))
    }
}

fn read_text(path: &Path) -> Result<String, FileError> {
    let unreadable = |source| FileError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let len_bytes = fs::metadata(path).map_err(unreadable)?.len();
    if len_bytes > MAX_FILE_LEN_BYTES {
        return Err(FileError::TooLarge {
            path: path.to_owned(),
            len_bytes,
        });
    }
    let bytes = fs::read(path).map_err(unreadable)?;
    String::from_utf8(bytes).map_err(|error| {
        let valid_len = error.utf8_error().valid_up_to();
        let valid = String::from_utf8_lossy(&error.as_bytes()[..valid_len]);
        FileError::NotUtf8 {
            path: path.to_owned(),
            location: LineIndex::new(&valid).location(valid_len),
        }
    })
}

fn hint(suggestion: Option<&str>) -> String {
    suggestion.map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
}
