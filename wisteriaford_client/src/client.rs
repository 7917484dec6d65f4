//! Client of the daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::ConfigurationAnswer;
use crate::message::ErrorAnswer;
use crate::message::ErrorBody;
use crate::message::ExplainAnswer;
use crate::message::GenerateAnswer;
use crate::message::GenerateRequest;
use crate::message::MessageError;
use crate::message::Outcome;
use crate::message::PullAnswer;
use crate::message::PullRequest;
use crate::message::SharesAnswer;
use crate::message::StatusAnswer;
use crate::message::check_name;
use crate::message::code;
use crate::transport::CONTENT_TYPE;
use crate::transport::Exchange;
use crate::transport::HttpTransport;
use crate::transport::Reply;
use crate::transport::Transport;
use crate::transport::TransportError;

const JSON: &str = "application/json";
const LOWEST_ERROR_STATUS: u16 = 400;
const SERVICE_UNAVAILABLE_STATUS: u16 = 503;

/// Header that names the caller of a routed call.
pub const CALLER_HEADER: &str = "wisteriaford-caller";
/// Header with the key of a call that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that marks the first attempt of a call.
pub const FIRST_ATTEMPT_HEADER: &str = "wisteriaford-first-attempt";
/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "wisteriaford-request-id";
/// Header with the time until an answer is of no use, in milliseconds.
pub const TIMEOUT_HEADER: &str = "wisteriaford-timeout-ms";
/// Header that names the endpoint that served a call.
pub const ENDPOINT_HEADER: &str = "wisteriaford-endpoint";
/// Header that names the instance that served a call.
pub const INSTANCE_HEADER: &str = "wisteriaford-instance";

/// Why a request got no answer.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// The client knows no daemon.
    #[display("no daemon address was given")]
    NoAddress,
    /// The request cannot be meant; nothing was sent.
    #[display("{source}")]
    BadRequest {
        /// Cause.
        source: MessageError,
    },
    /// No whole answer came.
    #[display("{source}")]
    Transport {
        /// Cause.
        source: TransportError,
    },
    /// A daemon refused the request or failed at it.
    #[display("{address} answered {status} {}: {}", body.code, body.message)]
    Refused {
        /// Daemon.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What went wrong.
        body: Box<ErrorBody>,
    },
    /// The answer is not what the interface promises.
    #[display("{address} answered {status} with a body that is not understood: {source}")]
    BadAnswer {
        /// Daemon.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Cause.
        source: serde_json::Error,
    },
}

impl ClientError {
    /// Returns whether the request may have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NoAddress | Self::BadRequest { .. } => Outcome::NotRun,
            Self::Transport { source } if source.is_not_sent() => Outcome::NotRun,
            Self::Transport { .. } | Self::BadAnswer { .. } => Outcome::OutcomeUnknown,
            Self::Refused { body, .. } => body.outcome.unwrap_or(Outcome::OutcomeUnknown),
        }
    }

    /// Returns when the daemon asked to come back.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { body, .. } => body.retry_after_ms.map(Duration::from_millis),
            _ => None,
        }
    }

    /// Returns the stable code of a refusal.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Refused { body, .. } => Some(&body.code),
            _ => None,
        }
    }

    /// Returns whether no daemon gave an answer that is understood.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Transport { .. } | Self::NoAddress)
    }

    /// Returns whether the instance itself, not the request, was the reason and nothing ran.
    fn is_instance_unavailable(&self) -> bool {
        match self {
            Self::Refused { status, body, .. } => {
                let of_instance = [code::NO_CONFIGURATION, code::SHUTTING_DOWN];
                let of_instance = of_instance.contains(&body.code.as_str());
                let not_run = body.outcome == Some(Outcome::NotRun);
                *status == SERVICE_UNAVAILABLE_STATUS && of_instance && not_run
            }
            _ => false,
        }
    }
}

impl From<TransportError> for ClientError {
    fn from(source: TransportError) -> Self {
        Self::Transport { source }
    }
}

impl From<MessageError> for ClientError {
    fn from(source: MessageError) -> Self {
        Self::BadRequest { source }
    }
}

/// Call of a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteCall {
    /// Route by name.
    pub route: String,
    /// Who calls.
    pub caller: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Key that stays the same when the call is sent again.
    pub idempotency_key: Option<String>,
    /// Whether the call was never sent before.
    pub is_first_attempt: bool,
    /// Id that the caller chose, unique over the fleet.
    pub request_id: Option<String>,
    /// Time until the answer is of no use, in milliseconds.
    pub timeout_ms: Option<u64>,
}

impl RouteCall {
    fn exchange(&self) -> Exchange {
        let path = format!("/v1/call/{}", self.route);
        let mut exchange = Exchange::post(path, &self.content_type, self.body.clone());
        let first_attempt = self.is_first_attempt.then(|| "true".to_owned());
        let headers = [
            (CALLER_HEADER, Some(self.caller.clone())),
            (IDEMPOTENCY_KEY_HEADER, self.idempotency_key.clone()),
            (FIRST_ATTEMPT_HEADER, first_attempt),
            (REQUEST_ID_HEADER, self.request_id.clone()),
            (TIMEOUT_HEADER, self.timeout_ms.map(|ms| ms.to_string())),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                exchange.headers.push((name, value));
            }
        }
        exchange
    }
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteAnswer {
    /// HTTP status of the endpoint.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Request that it answers.
    pub request_id: Option<String>,
    /// Endpoint that served it.
    pub endpoint: Option<String>,
    /// Instance that served it.
    pub instance: Option<String>,
}

/// Client of one fleet, through one or several of its daemons.
#[derive(Clone)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    transport: Arc<dyn Transport>,
}

impl Client {
    /// Returns a client that tries the daemons in turn, over HTTP.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self::with_transport(addresses, Arc::new(HttpTransport { timeout }))
    }

    /// Returns a client that tries the daemons in turn, over a transport of the user's.
    #[must_use]
    pub fn with_transport(addresses: Vec<SocketAddr>, transport: Arc<dyn Transport>) -> Self {
        Self {
            addresses,
            transport,
        }
    }

    /// Returns the addresses of the daemons, in the order in which they are tried.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns a client of a single daemon of this fleet.
    #[must_use]
    pub fn only(&self, address: SocketAddr) -> Self {
        Self::with_transport(vec![address], Arc::clone(&self.transport))
    }

    /// Puts the first daemon last, so that another one is tried first.
    pub fn rotate(&mut self) {
        if !self.addresses.is_empty() {
            self.addresses.rotate_left(1);
        }
    }

    /// Asks for one answer of a model.
    ///
    /// # Errors
    ///
    /// Fails where no whole answer came; [`ClientError::outcome`] says whether it may have run.
    pub fn generate(&self, request: &GenerateRequest) -> Result<GenerateAnswer, ClientError> {
        request.check()?;
        let exchange = json_post("/v1/generate".to_owned(), request);
        self.once(&exchange, parse)
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Fails where the endpoint gave no answer; [`ClientError::outcome`] says whether it may have
    /// run. An error status of the endpoint itself is an answer.
    pub fn call(&self, call: &RouteCall) -> Result<RouteAnswer, ClientError> {
        check_name("route", &call.route)?;
        check_name("caller", &call.caller)?;
        self.once(&call.exchange(), route_answer)
    }

    /// Asks for samples of a step; sent again to another daemon after any failure on the way,
    /// since the received set keeps a sample from being counted twice.
    ///
    /// # Errors
    ///
    /// Fails where no daemon answered, or one refused.
    pub fn pull(&self, step: u64, request: &PullRequest) -> Result<PullAnswer, ClientError> {
        request.check()?;
        let exchange = json_post(format!("/v1/steps/{step}/pulls"), request);
        self.repeated(&exchange, parse)
    }

    /// Asks what was decided about a request, until a daemon knows it.
    ///
    /// # Errors
    ///
    /// Fails where no daemon knows the request, with the last refusal if there was one.
    pub fn explain(&self, request_id: &str) -> Result<ExplainAnswer, ClientError> {
        check_name("request_id", request_id)?;
        let exchange = Exchange::get(format!("/v1/explain/{request_id}"));
        let mut last = ClientError::NoAddress;
        for &address in &self.addresses {
            match self.exchange_with(address, &exchange, parse) {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_unreachable() && last.code().is_some() => {}
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Asks what the callers got of the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Fails where no daemon answered.
    pub fn shares(&self) -> Result<SharesAnswer, ClientError> {
        self.repeated(&Exchange::get("/v1/shares".to_owned()), parse)
    }

    /// Asks for the state of the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Fails where no daemon answered.
    pub fn status(&self) -> Result<StatusAnswer, ClientError> {
        self.repeated(&Exchange::get("/v1/status".to_owned()), parse)
    }

    /// Asks for the configuration in force at the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Fails where no daemon answered.
    pub fn configuration<C: DeserializeOwned>(
        &self,
    ) -> Result<ConfigurationAnswer<C>, ClientError> {
        self.repeated(&Exchange::get("/v1/configuration".to_owned()), parse)
    }

    /// Tries the daemons in turn as long as nothing can have run.
    fn once<T>(&self, exchange: &Exchange, read: Reader<T>) -> Result<T, ClientError> {
        self.in_turn(exchange, read, |error| match error {
            ClientError::Transport { source } => source.is_not_sent(),
            other => other.is_instance_unavailable(),
        })
    }

    /// Tries the daemons in turn until one answers.
    fn repeated<T>(&self, exchange: &Exchange, read: Reader<T>) -> Result<T, ClientError> {
        self.in_turn(exchange, read, |error| {
            error.is_unreachable() || error.is_instance_unavailable()
        })
    }

    fn in_turn<T>(
        &self,
        exchange: &Exchange,
        read: Reader<T>,
        may_go_on: impl Fn(&ClientError) -> bool,
    ) -> Result<T, ClientError> {
        let mut last = ClientError::NoAddress;
        for &address in &self.addresses {
            match self.exchange_with(address, exchange, read) {
                Err(error) if may_go_on(&error) => last = error,
                result => return result,
            }
        }
        Err(last)
    }

    fn exchange_with<T>(
        &self,
        address: SocketAddr,
        exchange: &Exchange,
        read: Reader<T>,
    ) -> Result<T, ClientError> {
        let reply = self.transport.send(address, exchange)?;
        read(address, &reply)
    }
}

/// Reads the answer that a daemon sent.
type Reader<T> = fn(SocketAddr, &Reply) -> Result<T, ClientError>;

fn json_post(path: String, message: &impl Serialize) -> Exchange {
    let body = serde_json::to_vec(message).expect("messages have text as keys");
    Exchange::post(path, JSON, body)
}

fn parse<T: DeserializeOwned>(address: SocketAddr, reply: &Reply) -> Result<T, ClientError> {
    if reply.status >= LOWEST_ERROR_STATUS {
        return Err(refusal(address, reply));
    }
    serde_json::from_slice(&reply.body).map_err(|source| bad_answer(address, reply.status, source))
}

/// Takes an error status as the endpoint's own where the daemon names the endpoint.
fn route_answer(address: SocketAddr, reply: &Reply) -> Result<RouteAnswer, ClientError> {
    let endpoint = reply.header(ENDPOINT_HEADER).map(str::to_owned);
    if reply.status >= LOWEST_ERROR_STATUS && endpoint.is_none() {
        return Err(refusal(address, reply));
    }
    Ok(RouteAnswer {
        status: reply.status,
        content_type: reply.header(CONTENT_TYPE).map(str::to_owned),
        request_id: reply.header(REQUEST_ID_HEADER).map(str::to_owned),
        instance: reply.header(INSTANCE_HEADER).map(str::to_owned),
        endpoint,
        body: reply.body.clone(),
    })
}

fn refusal(address: SocketAddr, reply: &Reply) -> ClientError {
    match serde_json::from_slice::<ErrorAnswer>(&reply.body) {
        Ok(answer) => ClientError::Refused {
            address,
            status: reply.status,
            body: Box::new(answer.error),
        },
        Err(source) => bad_answer(address, reply.status, source),
    }
}

fn bad_answer(address: SocketAddr, status: u16, source: serde_json::Error) -> ClientError {
    ClientError::BadAnswer {
        address,
        status,
        source,
    }
}
