//! Configuration files: reading them and finding every fault with its place.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use wisteriaford_core::validation::FaultKind;
use wisteriaford_proto::settings::Configuration;

use crate::place::Lines;
use crate::place::Place;

mod reader;
mod semantics;

/// Largest configuration file, in bytes.
pub const MAX_FILE_LEN_BYTES: u64 = 16 << 20;

/// Why a file cannot be read as text.
#[derive(Debug, Display, Error)]
pub enum FileError {
    /// The file cannot be opened or read.
    #[display("cannot read {}: {source}", path.display())]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is larger than [`MAX_FILE_LEN_BYTES`].
    #[display("{} has {len_bytes} bytes, at most {MAX_FILE_LEN_BYTES} are read", path.display())]
    TooLarge {
        /// File.
        path: PathBuf,
        /// Size of the file.
        len_bytes: u64,
    },
    /// The file is not UTF-8.
    #[display("{}:{place}: the file is not UTF-8 text", path.display())]
    NotText {
        /// File.
        path: PathBuf,
        /// First byte that is not text.
        place: Place,
    },
}

/// What is wrong at one place of a file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FileFaultKind {
    /// The text is not TOML.
    #[display("{message}")]
    Syntax {
        /// Explanation of the TOML library.
        message: String,
    },
    /// A section is not an array of tables.
    #[display("`{section}` must be written as [[{section}]], one for each entry")]
    NotTables {
        /// Name of the section.
        section: String,
    },
    /// No section has the name.
    #[display("there is no section `{section}`{}", hint(suggestion.as_deref()))]
    UnknownSection {
        /// Name that was given.
        section: String,
        /// Nearest name that exists.
        suggestion: Option<String>,
    },
    /// The section has no field of that name.
    #[display("{entry}: there is no field `{field}`{}", hint(suggestion.as_deref()))]
    UnknownField {
        /// Entry, such as `pools[0]`.
        entry: String,
        /// Name that was given.
        field: String,
        /// Nearest name that exists.
        suggestion: Option<String>,
    },
    /// The value is not of the field's type, or too large for it.
    #[display("{entry} {field}: {message}")]
    WrongType {
        /// Entry, such as `pools[0]`.
        entry: String,
        /// Field.
        field: String,
        /// Explanation of the deserializer.
        message: String,
    },
    /// The value makes no sense in this configuration.
    #[display("{path}: {kind}")]
    Semantic {
        /// Where, such as `pools[0] "restoration" queue_limit`.
        path: String,
        /// What is wrong.
        kind: FaultKind,
    },
}

impl FileFaultKind {
    /// Returns a stable code for programs.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Syntax { .. } => "syntax",
            Self::NotTables { .. } => "not_tables",
            Self::UnknownSection { .. } => "unknown_section",
            Self::UnknownField { .. } => "unknown_field",
            Self::WrongType { .. } => "wrong_type",
            Self::Semantic { .. } => "semantic",
        }
    }
}

/// A fault and its place.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{place}: {kind}")]
pub struct FileFault {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub kind: FileFaultKind,
}

/// What a file says, and everything that is wrong with it.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedFile {
    /// Content, without what could not be read.
    pub configuration: Configuration,
    /// Faults, in the order of the file.
    pub faults: Vec<FileFault>,
}

impl CheckedFile {
    /// Reads and checks the text of a file.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        let lines = Lines::new(text);
        let mut read = reader::read(text, &lines);
        let semantic = semantics::faults(&lines, &read);
        read.faults.extend(semantic);
        read.faults.sort_by_key(|fault| fault.place);
        Self {
            configuration: read.configuration,
            faults: read.faults,
        }
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails on a file that is not there, too large or no text.
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
        FileError::NotText {
            path: path.to_owned(),
            place: Lines::new(&valid).place(valid_len),
        }
    })
}

fn hint(suggestion: Option<&str>) -> String {
    suggestion.map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
}
