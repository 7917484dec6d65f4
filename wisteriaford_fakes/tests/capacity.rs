//! What an instance costs, and how soon all know, at a size that a test can run.

use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::Revision;
use wisteriaford_core::id::RouteId;
use wisteriaford_core::note::Note;
use wisteriaford_core::reply::Reply;
use wisteriaford_fakes::Answer;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::Layout;

const INSTANCES: usize = 50;
const ENGINES: usize = 70;
/// Bytes a second that an instance may spend for control.
const CONTROL_BYTES_PER_S: u64 = 23_000;
/// Time in which a revision must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Appends a second that the log takes from the whole fleet.
const APPENDS_PER_S: usize = 200;
/// Appends that an instance may send at once after a quiet time.
const APPEND_BURST: usize = 50;
/// Appends of the burst that claims leave for copies of the configuration, and one under way.
const KEPT_BACK: usize = APPEND_BURST / 10 + 1;
/// Keyed calls a second, far above what the log takes.
const CALLS_PER_S: usize = 400;
/// Requests a second at the two-year size, for as many instances as run here.
const REQUESTS_PER_S: u32 = 3_500 * 50 / 420;

fn layout() -> Layout {
    Layout {
        instances: INSTANCES,
        engines: ENGINES,
        services: 5,
        trainers: 11,
        ..Layout::default()
    }
}

fn joined() -> (Fleet, Vec<InstanceId>) {
    let (mut fleet, instances) = layout().start();
    fleet.run_for(Layout::JOIN_TIME);
    fleet.notes.clear();
    (fleet, instances)
}

fn generation(number: u32) -> CallerRequest {
    CallerRequest::Generate {
        request: None,
        caller: CallerId::from(Layout::CALLER),
        pool: PoolId::from(Layout::POOL),
        prompt: Arc::from(format!("prompt {number}")),
        max_tokens: 400,
        timeout: None,
    }
}

fn keyed_call(number: usize) -> CallerRequest {
    CallerRequest::Call {
        request: None,
        caller: CallerId::from(Layout::CALLER),
        route: RouteId::from(Layout::ROUTE),
        body: Arc::from(&b"{}"[..]),
        content_type: "application/json".into(),
        key: Some(format_compact!("order-{number}")),
        first_attempt: true,
        timeout: None,
    }
}

/// Returns the revision in force at an instance.
fn revision(fleet: &mut Fleet, instance: &InstanceId) -> Revision {
    fleet.call(instance, CallerRequest::Status).unwrap();
    fleet.run_for(Duration::from_millis(10));
    let answer = fleet.take_answers().pop().unwrap();
    let Reply::Status(status) = answer.reply else {
        panic!("no status: {:?}", answer.reply);
    };
    status.revision
}

/// Publishes a change and returns the instances at which a new revision is in force in time.
fn in_force_in_time(fleet: &mut Fleet, base: Revision) -> usize {
    let mut configuration = layout().configuration();
    configuration.callers[0].share_weight += 1;
    fleet.notes.clear();
    Layout::publish(fleet, "p-2", base, configuration);
    fleet.run_for(IN_FORCE);
    let is_newer =
        |note: &Note| matches!(note, Note::RevisionInForce { revision, .. } if *revision > base);
    fleet.notes.iter().filter(|line| is_newer(&line.2)).count()
}

/// Returns the most bytes a second that one instance sent and received together.
fn most_bytes_per_s(fleet: &Fleet, instances: &[InstanceId], window: Duration) -> u64 {
    let total = |instance: &InstanceId| {
        let both = fleet.sent.iter().chain(&fleet.received);
        let own = both.filter(|((id, _), _)| id == instance);
        own.map(|(_, sent)| sent.bytes).sum::<u64>() / window.as_secs()
    };
    instances.iter().map(total).max().unwrap()
}

#[test]
fn idle_instance_stays_within_its_bytes() {
    let (mut fleet, instances) = joined();
    let window = Duration::from_secs(20);
    fleet.sent.clear();
    fleet.received.clear();

    fleet.run_for(window);

    let most = most_bytes_per_s(&fleet, &instances, window);
    assert!(most > 0);
    assert!(most <= CONTROL_BYTES_PER_S, "{most} B/s");
}

#[test]
fn instance_stays_within_its_bytes_under_load() {
    let (mut fleet, instances) = joined();
    let window = Duration::from_secs(10);
    let mut answered = 0;
    for second in 0..20 {
        if second == 10 {
            fleet.sent.clear();
            fleet.received.clear();
        }
        for number in 0..REQUESTS_PER_S {
            let place = (second * REQUESTS_PER_S + number) as usize % INSTANCES;
            let request = generation(second * REQUESTS_PER_S + number);
            fleet.call(&instances[place], request).unwrap();
            fleet.run_for(Duration::from_secs(1) / REQUESTS_PER_S);
        }
        answered += fleet.take_answers().len();
    }

    let most = most_bytes_per_s(&fleet, &instances, window);
    assert!(answered > 10 * REQUESTS_PER_S as usize, "{answered}");
    assert!(most <= CONTROL_BYTES_PER_S, "{most} B/s");
}

#[test]
fn configuration_is_in_force_everywhere_in_time() {
    let (mut fleet, instances) = joined();
    let base = revision(&mut fleet, &instances[0]);

    let in_force = in_force_in_time(&mut fleet, base);

    assert_eq!(in_force, INSTANCES);
}

#[test]
fn configuration_is_in_force_everywhere_in_time_with_the_log_down_for_all_but_one() {
    let (mut fleet, instances) = joined();
    let base = revision(&mut fleet, &instances[0]);
    fleet.log_answers_only = Some(instances[7].clone());
    fleet.run_for(Duration::from_secs(3));

    let in_force = in_force_in_time(&mut fleet, base);

    assert_eq!(in_force, INSTANCES);
}

#[test]
fn flood_of_keyed_calls_stays_under_the_ceiling_of_appends() {
    let (mut fleet, instances) = joined();
    let appended = |fleet: &Fleet| {
        let streams = LogStream::ALL.into_iter();
        streams.map(|s| fleet.log.records(s).len()).sum::<usize>()
    };
    let seconds = 20;
    let before = appended(&fleet);
    let mut after_bursts = 0;

    for second in 0..seconds {
        if second == 10 {
            after_bursts = appended(&fleet);
        }
        for number in 0..CALLS_PER_S {
            let instance = &instances[number % INSTANCES];
            fleet
                .call(instance, keyed_call(second * CALLS_PER_S + number))
                .unwrap();
        }
        fleet.run_for(Duration::from_secs(1));
        fleet.take_answers();
    }

    let all = appended(&fleet) - before;
    assert!(
        all <= APPENDS_PER_S * seconds + APPEND_BURST * INSTANCES,
        "{all}"
    );
    let steady = appended(&fleet) - after_bursts;
    assert!(steady > 0);
    assert!(
        steady <= APPENDS_PER_S * 10 + KEPT_BACK * INSTANCES,
        "{steady}"
    );
}

#[test]
fn claims_of_many_are_read_in_batches() {
    let (mut fleet, instances) = joined();
    let seconds = 10;
    let calls_per_s = 40;
    fleet.log_reads.clear();
    let mut answered = 0;

    for number in 0..seconds * calls_per_s {
        let instance = &instances[number % INSTANCES];
        fleet.call(instance, keyed_call(number)).unwrap();
        fleet.run_for(Duration::from_secs(1) / u32::try_from(calls_per_s).unwrap());
        let answers = fleet.take_answers();
        let whole = |answer: &&Answer| matches!(answer.reply, Reply::Called(_));
        answered += answers.iter().filter(whole).count();
    }

    let reads = fleet.log_reads[&LogStream::Claims].messages;
    let most_a_s = 1_000 / LogStream::Claims.pause_after_records().as_millis();
    // A read that waits for records ends every two seconds besides.
    let most = INSTANCES * seconds * (usize::try_from(most_a_s).unwrap() + 1);
    assert!(answered > seconds * calls_per_s * 9 / 10, "{answered}");
    assert!(reads <= most as u64, "{reads} reads");
}
