//! Calls of duties, while this instance is the leader and may give orders.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use wisteriaford_core::gateway::duties::Duty;
use wisteriaford_core::gateway::duties::DutyCall;
use wisteriaford_core::gateway::duties::DutyContent;
use wisteriaford_core::gateway::duties::DutyKind;
use wisteriaford_core::gateway::duties::DutyOutcome;

use crate::adapter::DutyPort;
use crate::clock;
use crate::order_guard::OrderGuard;
use crate::state::Gateway;
use crate::state::stopped;

/// Interval of the check for due calls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Makes the calls that are due until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let Some(port) = gateway.usage.port().cloned() else {
        return;
    };
    loop {
        while let Some(call) = next_call(&gateway) {
            tokio::spawn(execute(Arc::clone(&gateway), Arc::clone(&port), call));
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
    }
}

fn next_call(gateway: &Gateway) -> Option<DutyCall> {
    let now = clock::now();
    let fence = gateway.leadership().order_fence(now);
    if let Some(ledger) = gateway.usage.ledger().as_mut() {
        let call = gateway.usage.dispatcher().next_call(now, fence, ledger);
        if call.is_some() {
            return call;
        }
    }
    let mut duty = gateway.scaling.duty();
    let duty = duty.get()?;
    gateway.usage.dispatcher().next_call(now, fence, duty)
}

async fn execute(gateway: Arc<Gateway>, port: Arc<dyn DutyPort>, call: DutyCall) {
    let began = clock::now();
    let holder = gateway.settings.load().host.clone();
    let guard = OrderGuard::begin(&gateway);
    // The process may have been frozen since the call became due, and the lease have ended meanwhile.
    let may_send =
        || guard.is_some() && gateway.leadership().order_fence(clock::now()) == Some(call.fence);
    let answer = port.call(&call, &holder, &may_send).await;
    if let Some(guard) = guard {
        guard.end(answer.outcome != DutyOutcome::Unknown);
    }
    let now = clock::now();
    let kind = call.content.kind();
    gateway
        .metrics
        .record_duty_call(kind, answer.outcome.name());
    let content: CompactString = match &call.content {
        DutyContent::Usage(report) => {
            let requests: u64 = report.counts.values().sum();
            format_compact!("window {}, {requests} requests", report.window)
        }
        DutyContent::Scaling(order) => {
            let kind = if order.is_spot { "spot" } else { "regular" };
            format_compact!("{} {kind} engines of {}", order.engines, order.subject())
        }
    };
    log::info!(
        duty:% = kind, content:% = content, fence = call.fence.0, outcome = answer.outcome.name(),
        cause:% = answer.cause, took_ms = now.since(began).as_millis();
        "platform called for a duty"
    );
    let mut ledger = gateway.usage.ledger();
    let mut scaling = gateway.scaling.duty();
    let duty: Option<&mut dyn Duty> = match kind {
        DutyKind::Usage => ledger.as_mut().map(|ledger| ledger as &mut dyn Duty),
        DutyKind::Scaling => scaling.get().map(|scaling| scaling as &mut dyn Duty),
    };
    let mut dispatcher = gateway.usage.dispatcher();
    dispatcher.on_outcome(now, &call, answer.outcome, duty);
}
