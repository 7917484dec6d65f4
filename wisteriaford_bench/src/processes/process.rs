//! A child process that is killed on drop.

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

/// Environment variable with the directory of the programs; the default is the directory of the
/// current program.
pub const PROGRAMS_DIR_ENV: &str = "WISTERIAFORD_PROGRAMS";

/// Signal sent to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// `SIGTERM`: shut down gracefully.
    Terminate,
    /// `SIGKILL`: exit at once.
    Kill,
    /// `SIGSTOP`: pause.
    Stop,
    /// `SIGCONT`: resume after a pause.
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

/// Child process and the lines that it has written.
pub struct Process {
    name: String,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program of the workspace and collects its output.
    ///
    /// # Errors
    ///
    /// Fails if the program does not exist or cannot be started.
    pub fn start(name: &str, program: &str, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(program_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| system_error(name, source))?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        collect_lines(child.stdout.take(), &lines);
        collect_lines(child.stderr.take(), &lines);
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

    /// Returns the lines that the process has written so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        lock_lines(&self.lines).clone()
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident memory of the process, in kB.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn resident_kb(&self) -> Result<u64> {
        resident_kb(self.child.id()).map_err(|source| system_error(&self.name, source))
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal.number())
            .map_err(|error| system_error(&self.name, error.into()))
    }

    /// Returns the exit status of the process, if it has exited.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot report the status.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        self.child
            .try_wait()
            .map_err(|source| system_error(&self.name, source))
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exit in time.
    pub fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let condition = format!("exit of {}", self.name);
        let mut status = None;
        wait_until(&condition, timeout, || {
            status = self.exit_status().ok().flatten();
            status.is_some()
        })?;
        status.ok_or_else(|| system_error(&self.name, io::ErrorKind::Other.into()))
    }

    /// Returns the error for a process that failed to start, with its output.
    #[must_use]
    pub fn start_error(&self) -> ProcessError {
        ProcessError::NotStarted {
            name: self.name.clone(),
            output: self.lines().join("\n"),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program: in the directory of the current program, or in its parent
/// directory if the current program is a test.
///
/// # Errors
///
/// Fails if there is no such file.
pub fn program_path(program: &str) -> Result<PathBuf> {
    let path = programs_dir().join(program);
    if path.is_file() {
        return Ok(path);
    }
    Err(ProcessError::ProgramNotFound { path })
}

fn programs_dir() -> PathBuf {
    if let Some(directory) = env::var_os(PROGRAMS_DIR_ENV) {
        return PathBuf::from(directory);
    }
    let current_program = env::current_exe().unwrap_or_default();
    let directory = current_program.parent().unwrap_or(Path::new("."));
    if directory.ends_with("deps") {
        return directory.parent().unwrap_or(directory).to_owned();
    }
    directory.to_owned()
}

/// Collects lines on a thread that ends when the process closes its output.
fn collect_lines(output: Option<impl Read + Send + 'static>, lines: &Arc<Mutex<Vec<String>>>) {
    let Some(output) = output else {
        return;
    };
    let lines = Arc::clone(lines);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(io::Result::ok) {
            lock_lines(&lines).push(line);
        }
    });
}

fn lock_lines(lines: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

fn system_error(name: &str, source: io::Error) -> ProcessError {
    ProcessError::System {
        name: name.to_owned(),
        source,
    }
}
