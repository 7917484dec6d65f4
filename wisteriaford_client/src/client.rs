//! Client for the daemons' HTTP API.

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
use crate::message::code;
use crate::message::validate_name;
use crate::placement;
use crate::placement::JobPlacement;
use crate::placement::RequestPlacement;
use crate::transport::CONTENT_TYPE;
use crate::transport::HttpRequest;
use crate::transport::HttpResponse;
use crate::transport::HttpTransport;
use crate::transport::Transport;
use crate::transport::TransportError;

const JSON: &str = "application/json";
const LOWEST_ERROR_STATUS: u16 = 400;
const SERVICE_UNAVAILABLE_STATUS: u16 = 503;

/// Header with the name of the caller of a routed call.
pub const CALLER_HEADER: &str = "wisteriaford-caller";
/// Header with the idempotency key of a call that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that marks the first attempt of a call.
pub const FIRST_ATTEMPT_HEADER: &str = "wisteriaford-first-attempt";
/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "wisteriaford-request-id";
/// Header with the timeout of a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "wisteriaford-timeout-ms";
/// Header with the name of the endpoint that served a call.
pub const ENDPOINT_HEADER: &str = "wisteriaford-endpoint";
/// Header with the id of the instance that served a call.
pub const INSTANCE_HEADER: &str = "wisteriaford-instance";

/// Reason why a request received no answer.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// The client has no daemon addresses.
    #[display("no daemon address was given")]
    NoAddress,
    /// The request is invalid and was not sent.
    #[display("{source}")]
    BadRequest {
        /// Cause of the error.
        source: MessageError,
    },
    /// No complete response was received.
    #[display("{source}")]
    Transport {
        /// Cause of the error.
        source: TransportError,
    },
    /// A daemon refused the request or failed to process it.
    #[display("{address} answered {status} {}: {}", body.code, body.message)]
    Refused {
        /// Address of the daemon.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Error details.
        body: Box<ErrorBody>,
    },
    /// The response body is not valid for the API.
    #[display("{address} answered {status} with an invalid body: {source}")]
    BadAnswer {
        /// Address of the daemon.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Cause of the error.
        source: serde_json::Error,
    },
}

impl ClientError {
    /// Returns whether the request may have been executed.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NoAddress | Self::BadRequest { .. } => Outcome::NotRun,
            Self::Transport { source } if source.is_not_sent() => Outcome::NotRun,
            Self::Transport { .. } | Self::BadAnswer { .. } => Outcome::OutcomeUnknown,
            Self::Refused { body, .. } => body.outcome.unwrap_or(Outcome::OutcomeUnknown),
        }
    }

    /// Returns the delay that the daemon requested before a retry.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { body, .. } => body.retry_after_ms.map(Duration::from_millis),
            _ => None,
        }
    }

    /// Returns the stable error code of a refusal.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Refused { body, .. } => Some(&body.code),
            _ => None,
        }
    }

    /// Returns whether no daemon sent a complete response.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Transport { .. } | Self::NoAddress)
    }

    /// Returns whether the instance was unable to serve any request and executed nothing.
    fn is_instance_unavailable(&self) -> bool {
        match self {
            Self::Refused { status, body, .. } => {
                let instance_codes = [code::NO_CONFIGURATION, code::SHUTTING_DOWN];
                let has_instance_code = instance_codes.contains(&body.code.as_str());
                let not_run = body.outcome == Some(Outcome::NotRun);
                *status == SERVICE_UNAVAILABLE_STATUS && has_instance_code && not_run
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

/// Call to a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteCall {
    /// Name of the route.
    pub route: String,
    /// Name of the caller.
    pub caller: String,
    /// Media type of the body.
    pub content_type: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Idempotency key, which is the same for every retry of the call.
    pub idempotency_key: Option<String>,
    /// Whether this is the first attempt of the call.
    pub is_first_attempt: bool,
    /// Id chosen by the caller, unique across the fleet.
    pub request_id: Option<String>,
    /// Time after which the caller no longer needs the answer, in milliseconds.
    pub timeout_ms: Option<u64>,
}

impl RouteCall {
    fn http_request(&self) -> HttpRequest {
        let path = format!("/v1/call/{}", self.route);
        let mut http_request = HttpRequest::post(path, &self.content_type, self.body.clone());
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
                http_request.headers.push((name, value));
            }
        }
        http_request
    }
}

/// Answer from a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteAnswer {
    /// HTTP status returned by the endpoint.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Vec<u8>,
    /// Id of the request being answered.
    pub request_id: Option<String>,
    /// Endpoint that served the call.
    pub endpoint: Option<String>,
    /// Instance that served the call.
    pub instance: Option<String>,
}

/// Client for a fleet, connected through one or more of its daemons.
#[derive(Clone)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    transport: Arc<dyn Transport>,
}

impl Client {
    /// Creates a client that tries the daemons in order over HTTP.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self::with_transport(addresses, Arc::new(HttpTransport { timeout }))
    }

    /// Creates a client that tries the daemons in order over a custom transport.
    #[must_use]
    pub fn with_transport(addresses: Vec<SocketAddr>, transport: Arc<dyn Transport>) -> Self {
        Self {
            addresses,
            transport,
        }
    }

    /// Returns the daemon addresses in the order in which they are tried.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns a client for a single daemon that uses the same transport.
    #[must_use]
    pub fn for_daemon(&self, address: SocketAddr) -> Self {
        Self::with_transport(vec![address], Arc::clone(&self.transport))
    }

    /// Moves the first daemon to the end of the list, so that another one is tried first.
    pub fn rotate(&mut self) {
        if !self.addresses.is_empty() {
            self.addresses.rotate_left(1);
        }
    }

    /// Requests a single answer from a model.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response was received. [`ClientError::outcome`] tells whether
    /// the request may have been executed.
    pub fn generate(&self, request: &GenerateRequest) -> Result<GenerateAnswer, ClientError> {
        request.validate()?;
        let http_request = json_post("/v1/generate".to_owned(), request);
        self.send_once(&http_request, parse)
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint sent no response. [`ClientError::outcome`] tells whether the
    /// call may have been executed. An error status from the endpoint itself is not an error.
    pub fn call(&self, call: &RouteCall) -> Result<RouteAnswer, ClientError> {
        validate_name("route", &call.route)?;
        validate_name("caller", &call.caller)?;
        self.send_once(&call.http_request(), parse_route_answer)
    }

    /// Requests samples of a step.
    ///
    /// After any transport failure the pull is sent to the next daemon. This is safe because the
    /// received set prevents a sample from being counted twice.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answered, or if a daemon refused the pull.
    pub fn pull(&self, step: u64, request: &PullRequest) -> Result<PullAnswer, ClientError> {
        request.validate()?;
        let http_request = json_post(format!("/v1/steps/{step}/pulls"), request);
        self.send_repeatable(&http_request, parse)
    }

    /// Queries the daemons in order for the decisions about a request until one knows it.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon knows the request. A refusal takes precedence over later
    /// daemons that are unreachable.
    pub fn explain(&self, request_id: &str) -> Result<ExplainAnswer, ClientError> {
        validate_name("request_id", request_id)?;
        let http_request = HttpRequest::get(format!("/v1/explain/{request_id}"));
        let mut last = ClientError::NoAddress;
        for &address in &self.addresses {
            match self.send_to(address, &http_request, parse) {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_unreachable() && last.code().is_some() => {}
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Asks daemons in order where a request would go now, until one answers.
    ///
    /// `organisation` names the organisation that sends it; `id` selects the pool of a route with several.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answered.
    pub fn request_placement(
        &self,
        host: &str,
        path: &str,
        organisation: Option<&str>,
        id: Option<&str>,
    ) -> Result<RequestPlacement, ClientError> {
        let mut parameters = vec![(placement::HOST, host), (placement::PATH, path)];
        parameters.extend(organisation.map(|name| (placement::ORGANISATION, name)));
        parameters.extend(id.map(|id| (placement::ID, id)));
        self.ask(placement::REQUEST_PATH, &parameters)
    }

    /// Asks daemons in order where the items of a batch job are, until one answers.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answered, or the one that did doesn't know the batch job.
    pub fn job_placement(&self, job: &str) -> Result<JobPlacement, ClientError> {
        self.ask(placement::JOB_PATH, &[(placement::ID, job)])
    }

    fn ask<T: DeserializeOwned>(
        &self,
        path: &str,
        parameters: &[(&str, &str)],
    ) -> Result<T, ClientError> {
        let mut query = form_urlencoded::Serializer::new(String::new());
        let query = query.extend_pairs(parameters).finish();
        self.send_repeatable(&HttpRequest::get(format!("{path}?{query}")), parse)
    }

    /// Returns the shares that callers received from the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answered.
    pub fn shares(&self) -> Result<SharesAnswer, ClientError> {
        self.send_repeatable(&HttpRequest::get("/v1/shares".to_owned()), parse)
    }

    /// Returns the state of the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answered.
    pub fn status(&self) -> Result<StatusAnswer, ClientError> {
        self.send_repeatable(&HttpRequest::get("/v1/status".to_owned()), parse)
    }

    /// Returns the active configuration of the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answered.
    pub fn configuration<C: DeserializeOwned>(
        &self,
    ) -> Result<ConfigurationAnswer<C>, ClientError> {
        self.send_repeatable(&HttpRequest::get("/v1/configuration".to_owned()), parse)
    }

    /// Tries the daemons in order, and stops as soon as the request may have been executed.
    fn send_once<T>(
        &self,
        http_request: &HttpRequest,
        parser: ResponseParser<T>,
    ) -> Result<T, ClientError> {
        self.try_in_order(http_request, parser, |error| match error {
            ClientError::Transport { source } => source.is_not_sent(),
            other => other.is_instance_unavailable(),
        })
    }

    /// Tries the daemons in order until one answers. Only for requests that are safe to repeat.
    fn send_repeatable<T>(
        &self,
        http_request: &HttpRequest,
        parser: ResponseParser<T>,
    ) -> Result<T, ClientError> {
        self.try_in_order(http_request, parser, |error| {
            error.is_unreachable() || error.is_instance_unavailable()
        })
    }

    fn try_in_order<T>(
        &self,
        http_request: &HttpRequest,
        parser: ResponseParser<T>,
        should_try_next: impl Fn(&ClientError) -> bool,
    ) -> Result<T, ClientError> {
        let mut last = ClientError::NoAddress;
        for &address in &self.addresses {
            match self.send_to(address, http_request, parser) {
                Err(error) if should_try_next(&error) => last = error,
                result => return result,
            }
        }
        Err(last)
    }

    fn send_to<T>(
        &self,
        address: SocketAddr,
        http_request: &HttpRequest,
        parser: ResponseParser<T>,
    ) -> Result<T, ClientError> {
        let response = self.transport.send(address, http_request)?;
        parser(address, &response)
    }
}

/// Parses a daemon's response.
type ResponseParser<T> = fn(SocketAddr, &HttpResponse) -> Result<T, ClientError>;

fn json_post(path: String, message: &impl Serialize) -> HttpRequest {
    let body = serde_json::to_vec(message).expect("messages have only string keys");
    HttpRequest::post(path, JSON, body)
}

fn parse<T: DeserializeOwned>(
    address: SocketAddr,
    response: &HttpResponse,
) -> Result<T, ClientError> {
    if response.status >= LOWEST_ERROR_STATUS {
        return Err(parse_refusal(address, response));
    }
    serde_json::from_slice(&response.body)
        .map_err(|source| bad_answer(address, response.status, source))
}

/// Parses the response to a routed call. An error status comes from the endpoint if the daemon set
/// the endpoint header, and from the daemon otherwise.
fn parse_route_answer(
    address: SocketAddr,
    response: &HttpResponse,
) -> Result<RouteAnswer, ClientError> {
    let endpoint = response.header(ENDPOINT_HEADER).map(str::to_owned);
    if response.status >= LOWEST_ERROR_STATUS && endpoint.is_none() {
        return Err(parse_refusal(address, response));
    }
    Ok(RouteAnswer {
        status: response.status,
        content_type: response.header(CONTENT_TYPE).map(str::to_owned),
        request_id: response.header(REQUEST_ID_HEADER).map(str::to_owned),
        instance: response.header(INSTANCE_HEADER).map(str::to_owned),
        endpoint,
        body: response.body.clone(),
    })
}

fn parse_refusal(address: SocketAddr, response: &HttpResponse) -> ClientError {
    match serde_json::from_slice::<ErrorAnswer>(&response.body) {
        Ok(answer) => ClientError::Refused {
            address,
            status: response.status,
            body: Box::new(answer.error),
        },
        Err(source) => bad_answer(address, response.status, source),
    }
}

fn bad_answer(address: SocketAddr, status: u16, source: serde_json::Error) -> ClientError {
    ClientError::BadAnswer {
        address,
        status,
        source,
    }
}
