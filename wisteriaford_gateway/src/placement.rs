//! Answers to operators' questions about where a request or a batch job would go now. Nothing is sent.

use std::borrow::Cow;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use indexmap::IndexMap;
use serde::Serialize;
use wisteriaford_client::message::ErrorAnswer;
use wisteriaford_client::message::ErrorBody;
use wisteriaford_client::placement;
use wisteriaford_client::placement::CandidatePlacement;
use wisteriaford_client::placement::ItemPlacement;
use wisteriaford_client::placement::JobPlacement;
use wisteriaford_client::placement::PlacementOutcome;
use wisteriaford_client::placement::RequestPlacement;
use wisteriaford_client::placement::RoutePlacement;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::load_balancer::CandidateState;
use wisteriaford_core::gateway::organisations::Sender;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::gateway::route::RouteKind;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::gateway::schedule::DispatchContext;
use wisteriaford_core::gateway::schedule::DispatchState;
use wisteriaford_core::gateway::schedule::ItemOverview;
use wisteriaford_core::gateway::schedule::ItemPlace;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::JobId;
use wisteriaford_core::id::OrganisationId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::TableVersion;

use crate::adapter::Topic;
use crate::clock;
use crate::forward;
use crate::organisations;
use crate::permits;
use crate::permits::Selection;
use crate::refusal::Answer;
use crate::refusal::Reason;
use crate::refusal::empty_answer;
use crate::refusal::full_body;
use crate::state::Gateway;

/// Age of the configuration or of the endpoints from which they may be outdated; an idle read takes a
/// second.
const MAX_CERTAIN_AGE: Duration = Duration::from_secs(2);

/// Answers a question, if the path is that of one.
pub(crate) fn answer(gateway: &Gateway, path: &str, query: &str) -> Option<Answer> {
    let parameters: IndexMap<_, _> = form_urlencoded::parse(query.as_bytes()).collect();
    let get = |name: &str| parameters.get(name).map(Cow::as_ref);
    match path {
        placement::REQUEST_PATH => Some(match (get(placement::HOST), get(placement::PATH)) {
            (Some(host), Some(path)) => {
                let question = Question {
                    host,
                    path,
                    id: get(placement::ID),
                    organisation: get(placement::ORGANISATION),
                };
                json(&of_request(gateway, &question))
            }
            _ => empty_answer(StatusCode::BAD_REQUEST),
        }),
        placement::JOB_PATH => Some(match get(placement::ID) {
            Some(id) => of_job(gateway, &id.into()).map_or_else(|| unknown_job(id), |of| json(&of)),
            None => empty_answer(StatusCode::BAD_REQUEST),
        }),
        _ => None,
    }
}

/// Request that is asked about.
struct Question<'a> {
    host: &'a str,
    path: &'a str,
    id: Option<&'a str>,
    organisation: Option<&'a str>,
}

fn of_request(gateway: &Gateway, question: &Question<'_>) -> RequestPlacement {
    let view = gateway.view.load_full();
    let mut answer = RequestPlacement {
        instance: gateway.settings.load().instance.to_string(),
        configuration_version: view.routes.version.0,
        uncertainties: uncertainties(gateway),
        route: None,
        organisation: question.organisation.map(str::to_owned),
        outcome: refused(Reason::NoRoute, None),
        candidates: Vec::new(),
    };
    let Some(route) = view.routes.find(question.host, question.path) else {
        if view.routes.version == TableVersion(0) {
            answer.outcome = refused(Reason::NoRoutesKnown, Some(forward::RETRY_AFTER));
        }
        return answer;
    };
    let sender = sender(&view.routes, question.organisation);
    let decided = organisations::decide(gateway, false, |_| sender, |s, _| s.may_use(route));
    let Some(pool) = route.pool_for(question.id.unwrap_or_default()) else {
        answer.outcome = refused(Reason::NoEndpoint, Some(forward::RETRY_AFTER));
        return answer;
    };
    if route.targets.len() > 1 && question.id.is_none() {
        let text = "the route has several pools, and the id of the request selects one";
        answer.uncertainties.push(text.to_owned());
    }
    answer.candidates = candidates(gateway, pool, route);
    answer.outcome = match decided {
        Err(reason) => {
            answer.route = Some(route_placement(route, pool, route.priority));
            refused(reason, None)
        }
        Ok(sender) => {
            answer.route = Some(route_placement(route, pool, sender.priority(route)));
            outcome(gateway, route, pool)
        }
    };
    answer
}

/// Returns the sender of a request, by the name of its organisation.
fn sender(routes: &RouteTable, organisation: Option<&str>) -> Sender {
    let Some(organisations) = &routes.organisations else {
        return Sender::Unrestricted;
    };
    let organisation = organisation.map(OrganisationId::from);
    let found = organisation.and_then(|id| organisations.get(&id));
    found.map_or(Sender::Anonymous, |found| {
        Sender::Member(std::sync::Arc::clone(found))
    })
}

fn outcome(gateway: &Gateway, route: &Route, pool: &PoolId) -> PlacementOutcome {
    if route.kind == RouteKind::Batch {
        return PlacementOutcome::Stored;
    }
    let criteria = forward::criteria(pool, &[], None, route);
    match permits::preview(gateway, &criteria) {
        Selection::Selected(endpoint, reason) => {
            let endpoint_id = endpoint.id.to_string();
            if gateway.announced_limits().get(&endpoint).is_some() {
                return PlacementOutcome::NeedsPermit {
                    endpoint: endpoint_id,
                };
            }
            PlacementOutcome::Sent {
                endpoint: endpoint_id,
                is_last_resort: reason.forced,
            }
        }
        Selection::Limited { retry_after } => refused(Reason::EndpointsLimited, Some(retry_after)),
        Selection::NoEndpoint => refused(Reason::NoEndpoint, Some(forward::RETRY_AFTER)),
    }
}

fn candidates(gateway: &Gateway, pool: &PoolId, route: &Route) -> Vec<CandidatePlacement> {
    let view = gateway.view.load();
    let now = clock::now();
    let load_balancer = gateway.load_balancer();
    let limits = gateway.announced_limits();
    let criteria = forward::criteria(pool, &[], None, route);
    let states = load_balancer.candidate_states(
        now,
        &view.endpoints,
        &criteria,
        |id: &EndpointId| gateway.idle_connections(&view, id),
        |endpoint: &Endpoint| limits.may_request(now, endpoint),
    );
    let limit_of = |state: &CandidateState<'_>| {
        let limit = limits.get(state.endpoint)?;
        Some(limit.rate.to_string())
    };
    let placements = states.iter().map(|state| CandidatePlacement {
        endpoint: state.endpoint.id.to_string(),
        availability_zone: state.endpoint.availability_zone.to_string(),
        software: state.endpoint.software.to_string(),
        exclusion: state.exclusion.map(|exclusion| exclusion.to_string()),
        available_in_ms: millis(state.available_in),
        in_flight: state.in_flight,
        slots: state.endpoint.slots,
        limit: state.limit,
        announced_limit: limit_of(state),
        relative_pace: state.relative_pace,
        idle_connections: state.idle_connections,
        cost: state.cost,
    });
    placements.collect()
}

fn of_job(gateway: &Gateway, id: &JobId) -> Option<JobPlacement> {
    let mut answer = {
        let jobs = gateway.jobs();
        let job = jobs.get(id)?;
        JobPlacement {
            instance: gateway.settings.load().instance.to_string(),
            configuration_version: gateway.view.load().routes.version.0,
            uncertainties: uncertainties(gateway),
            job: id.to_string(),
            organisation: job.head.organisation.as_ref().map(ToString::to_string),
            leader: None,
            is_ended: job.ended,
            total_items: job.head.total_items,
            listed_items: job.result_count(),
            desired_groups: job.head.desired_groups,
            items: Vec::new(),
        }
    };
    let (leader, is_runner) = {
        let leadership = gateway.leadership();
        let is_isolated = gateway.log.is_isolated();
        let is_runner = leadership.may_run_items(clock::now(), is_isolated);
        (leadership.leader().map(ToString::to_string), is_runner)
    };
    let uncertain = |answer: &mut JobPlacement, text: String| answer.uncertainties.push(text);
    match (&leader, is_runner) {
        (_, true) => match items(gateway, id) {
            Some(items) => answer.items = items.into_iter().map(item_placement).collect(),
            None if answer.is_ended || answer.listed_items >= answer.total_items => {}
            None => uncertain(&mut answer, "the batch job is being opened".to_owned()),
        },
        (Some(leader), false) => uncertain(
            &mut answer,
            format!("only the leader knows the places of the items; ask {leader}"),
        ),
        (None, false) => uncertain(&mut answer, "no leader is known".to_owned()),
    }
    answer.leader = leader;
    Some(answer)
}

/// Returns the unfinished items of an open batch job; the locks are taken in the order in which the
/// runner takes them.
fn items(gateway: &Gateway, id: &JobId) -> Option<Vec<ItemOverview>> {
    let view = gateway.view.load();
    let plan = gateway.plan();
    let schedule = gateway.schedule();
    let load_balancer = gateway.load_balancer();
    let suspects = gateway.suspects();
    let limits = gateway.announced_limits();
    let context = DispatchContext {
        now: clock::now(),
        unix_ms: clock::unix_ms(),
        routes: &view.routes,
        endpoints: &view.endpoints,
    };
    let state = DispatchState {
        context: &context,
        load_balancer: &load_balancer,
        suspects: &suspects,
    };
    schedule.overview(
        id,
        &state,
        |id| gateway.idle_connections(&view, id),
        |endpoint, job, need| plan.satisfies(endpoint, job, need),
        |endpoint| limits.may_request(context.now, endpoint),
    )
}

fn item_placement(overview: ItemOverview) -> ItemPlacement {
    let (state, endpoint, elapsed, waits_for) = match overview.place {
        ItemPlace::Starting { endpoint } => ("starting", Some(endpoint), None, None),
        ItemPlace::Waiting { reason } => ("waiting", None, None, Some(reason)),
        ItemPlace::Running { endpoint, elapsed } => {
            ("running", Some(endpoint), Some(elapsed), None)
        }
        ItemPlace::Unscored => ("unscored", None, None, None),
    };
    ItemPlacement {
        item: overview.item.to_string(),
        group: overview.group.map(|group| group.to_string()),
        events: overview.events,
        state: state.to_owned(),
        endpoint: endpoint.map(|endpoint| endpoint.to_string()),
        elapsed_ms: elapsed.map(millis),
        waits_for: waits_for.map(|reason| reason.to_string()),
    }
}

/// Returns the reasons for which this instance may decide by outdated knowledge.
fn uncertainties(gateway: &Gateway) -> Vec<String> {
    let mut found = Vec::new();
    if !gateway.is_current() {
        found.push("the process was paused, and reads routes and endpoints again".to_owned());
    }
    let now = clock::now();
    for (topic, name) in [
        (Topic::Publications, "configuration"),
        (Topic::Endpoints, "list of endpoints"),
    ] {
        let age = now.since(gateway.freshness(topic).as_of());
        if age > MAX_CERTAIN_AGE {
            let age_ms = age.as_millis();
            found.push(format!("the {name} was last confirmed {age_ms} ms ago"));
        }
    }
    if gateway.links().is_cut() {
        found.push("endpoints are reached over other instances".to_owned());
    }
    found
}

fn route_placement(route: &Route, pool: &PoolId, priority: u32) -> RoutePlacement {
    RoutePlacement {
        id: route.id.to_string(),
        pool: pool.to_string(),
        priority,
        max_attempts: route.max_attempts,
        timeout_ms: route.timeout.map(millis),
    }
}

fn refused(reason: Reason, retry_after: Option<Duration>) -> PlacementOutcome {
    PlacementOutcome::Refused {
        status: reason.status().as_u16(),
        reason: reason.to_string(),
        retry_after_ms: retry_after.map(millis),
    }
}

fn unknown_job(id: &str) -> Answer {
    let error = ErrorBody {
        code: Reason::NoSuchJob.to_string(),
        message: format!("no batch job {id}"),
        outcome: None,
        retry_after_ms: None,
        request_id: None,
    };
    let mut answer = json(&ErrorAnswer { error });
    *answer.status_mut() = StatusCode::NOT_FOUND;
    answer
}

fn json(message: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(message).expect("messages have only string keys");
    let mut answer = Response::new(full_body(body));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
