//! One process, ended when dropped.

use std::env;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use wisteriaford_standins::resident_kb;

use crate::processes::error::ProcessError;
use crate::processes::error::Result;
use crate::processes::wait::wait_until;

/// Variable that names the folder of the programs, where it isn't that of this one.
pub const PROGRAMS_VARIABLE: &str = "WISTERIAFORD_PROGRAMS";

/// What a process is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Shut down gracefully.
    Terminate,
    /// End at once.
    Kill,
    /// Freeze.
    Stop,
    /// Go on after a freeze.
    Continue,
}

impl Signal {
    const fn number(self) -> rustix::process::Signal {
        match self {
            Self::Terminate => rustix::process::Signal::TERM,
            Self::Kill => rustix::process::Signal::KILL,
            Self::Stop => rustix::process::Signal::STOP,
            Self::Continue => rustix::process::Signal::CONT,
        }
    }
}

/// Running process with the lines that it writes.
pub struct Process {
    name: String,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program of the workspace; what it writes is kept.
    ///
    /// # Errors
    ///
    /// Fails if the program is not there or not started.
    pub fn start(name: &str, program: &str, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(program_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| system_error(name, source))?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        collect(child.stdout.take(), &lines);
        collect(child.stderr.take(), &lines);
        Ok(Self {
            name: name.to_owned(),
            child,
            lines,
        })
    }

    /// Returns the name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the lines that the process wrote so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        locked(&self.lines).clone()
    }

    /// Returns the resident memory of the process, in kB.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn resident_kb(&self) -> Result<u64> {
        resident_kb(self.child.id()).map_err(|source| system_error(&self.name, source))
    }

    /// Signals the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal.number())
            .map_err(|error| system_error(&self.name, error.into()))
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        self.child
            .try_wait()
            .map_err(|source| system_error(&self.name, source))
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has not ended in time.
    pub fn wait(&mut self, longest: Duration) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        let mut status = None;
        wait_until(&what, longest, || {
            status = self.exit_status().ok().flatten();
            status.is_some()
        })?;
        status.ok_or_else(|| system_error(&self.name, io::ErrorKind::Other.into()))
    }

    /// Returns the failure of a process that is not as it should be, with what it wrote.
    #[must_use]
    pub fn not_started(&self) -> ProcessError {
        ProcessError::NotStarted {
            name: self.name.clone(),
            output: self.lines().join("\n"),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program: beside this one, or above it where this one is a test.
///
/// # Errors
///
/// Fails if it is not there.
pub fn program_path(program: &str) -> Result<PathBuf> {
    let path = programs_folder().join(program);
    if path.is_file() {
        return Ok(path);
    }
    Err(ProcessError::NoProgram { path })
}

fn programs_folder() -> PathBuf {
    if let Some(folder) = env::var_os(PROGRAMS_VARIABLE) {
        return PathBuf::from(folder);
    }
    let this = env::current_exe().unwrap_or_default();
    let folder = this.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") {
        return folder.parent().unwrap_or(folder).to_owned();
    }
    folder.to_owned()
}

/// Reads lines on a thread that ends with the process.
fn collect(output: Option<impl Read + Send + 'static>, lines: &Arc<Mutex<Vec<String>>>) {
    let Some(output) = output else {
        return;
    };
    let lines = Arc::clone(lines);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(io::Result::ok) {
            locked(&lines).push(line);
        }
    });
}

fn locked(lines: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

fn system_error(name: &str, source: io::Error) -> ProcessError {
    ProcessError::System {
        name: name.to_owned(),
        source,
    }
}
