//! Graceful shutdown of a daemon under load.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use wisteriaford_client::client::Client;
use wisteriaford_standins::expected_tokens;

use crate::processes::Daemon;
use crate::processes::Result;
use crate::processes::Signal;
use crate::processes::fleet::LOOKUP_ROUTE;
use crate::processes::wait_until;
use crate::quickstart::interactive;
use crate::quickstart::interactive::Tally;

const GENERATIONS: u32 = 12;
const CALLS: u32 = 6;
const MAX_TOKENS: u32 = 400;
const MIN_TOKENS: u32 = 300;
const MAX_WAIT: Duration = Duration::from_secs(120);

/// Result of a shutdown.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Results of the requests that were in progress when the signal was sent or arrived while the
    /// daemon shut down.
    pub in_progress: Tally,
    /// Exit code of the daemon; `None` if a signal ended it.
    pub exit_code: Option<i32>,
}

/// Sends requests to one daemon only, and SIGTERM once it has accepted them all.
///
/// # Errors
///
/// Fails if the daemon does not accept the requests, or does not exit.
pub fn terminate_under_load(daemon: &mut Daemon) -> Result<Shutdown> {
    let client = daemon.client();
    let requests = start_requests(&client);
    wait_until("requests in progress", MAX_WAIT, || {
        requests.iter().all(|(id, _)| client.explain(id).is_ok())
    })?;
    daemon.signal(Signal::Terminate)?;
    let mut shutdown = Shutdown::default();
    for (id, request) in requests {
        let result = request.join();
        let result = result.unwrap_or_else(|_| Err(format!("request {id}: its thread panicked")));
        shutdown.in_progress.count(result);
    }
    shutdown.exit_code = daemon.process().wait(MAX_WAIT)?.code();
    Ok(shutdown)
}

type Request = (String, JoinHandle<std::result::Result<(), String>>);

fn start_requests(client: &Client) -> Vec<Request> {
    let generations = long_prompts().into_iter().enumerate();
    let generations = generations.map(|(number, prompt)| {
        let id = format!("last-generation-{number}");
        let (client, request_id) = (client.clone(), id.clone());
        let request =
            thread::spawn(move || interactive::generate(&client, &request_id, &prompt, MAX_TOKENS));
        (id, request)
    });
    let calls = (0..CALLS).map(|number| {
        let id = format!("last-call-{number}");
        let (client, request_id) = (client.clone(), id.clone());
        let request =
            thread::spawn(move || interactive::call(&client, LOOKUP_ROUTE, &request_id, None));
        (id, request)
    });
    generations.chain(calls).collect()
}

/// Returns prompts whose answers have many tokens and so take long to generate.
fn long_prompts() -> Vec<String> {
    let prompts = (0_u32..).map(|number| format!("Last order {number}:"));
    let long = prompts.filter(|prompt| {
        let seed = interactive::seed(prompt);
        expected_tokens(prompt, seed, MAX_TOKENS) >= MIN_TOKENS
    });
    long.take(GENERATIONS as usize).collect()
}
