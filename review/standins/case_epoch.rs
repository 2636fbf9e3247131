//! A router is killed just after its first write of a budget's account, which the store does late; the
//! next process of the router takes the late write for its own.

use crate::{
    Outcome, Verdict,
    client::{ClientAnswer, ClientRequest, send},
    deployment::{Deployment, PREPAID, RESTART_DELAY, RESUMABLE, STRIDE},
    engine::{Answer, begin_stream, last_event_id, write_events},
    record::Record,
};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

/// Tokens of the prompt of each request: more than half of the budget.
pub const PROMPT: u64 = 60_000;

/// Events of each answer.
pub const EVENTS: u64 = 3;

/// The shortest time after which a late write is done.
const LATE_MIN: Duration = Duration::from_millis(1_000);

/// Time from the late write to the kill of its writer.
const KILL_AFTER: Duration = Duration::from_millis(50);

/// How often a refused request is sent again at most.
const TRIES: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, 1, [whole_stream(), whole_stream()])?;
    let added = deployment.account(1);
    sleep(Duration::from_secs(1));
    if trouble {
        deployment.store.delay_next_grant_of(&added);
    }
    // A host is added.
    deployment.start_router(1, false)?;
    let tenant = if trouble {
        kill_during_write(&mut deployment, record)?
    } else {
        kept_tenant(&deployment, &added)?
    };
    let mut spent = 0;
    spent += ask(&deployment, record, 1, &tenant, "first").1;
    if trouble {
        deployment.kill_router(1);
        sleep(RESTART_DELAY);
        deployment.start_router(1, false)?;
    }
    for number in 0..TRIES {
        let attempt = format!("second-{number}");
        let (answer, tokens) = ask(&deployment, record, 0, &tenant, &attempt);
        spent += tokens;
        if matches!(answer.status, 200 | 402) {
            break;
        }
        sleep(Duration::from_secs(1));
    }
    verdict(&deployment, record, &tenant, spent)
}

/// Kills the added router during its first write, starts it again, and does the write after the new
/// process has read the account; returns the tenant whose account it is.
fn kill_during_write(deployment: &mut Deployment, record: &Record) -> Result<String, String> {
    let before = deployment.store.appends();
    let late = deployment.store.wait_for_late(Duration::from_secs(10));
    let late = late.ok_or("the added router wrote no account with a grant")?;
    sleep(KILL_AFTER);
    deployment.kill_router(1);
    record.line(&format!(
        "platform: 1 of {} writes of these seconds is done late",
        deployment.store.appends() - before
    ));
    let started_again = late.arrived + LATE_MIN - Duration::from_millis(100);
    sleep(started_again.saturating_duration_since(Instant::now()));
    let reads = deployment.store.newest_reads(&late.topic);
    deployment.start_router(1, false)?;
    let limit = Duration::from_secs(2);
    if !deployment
        .store
        .wait_for_newest_read(&late.topic, reads, limit)
    {
        return Err("the router did not read its account".to_owned());
    }
    sleep((late.arrived + LATE_MIN).saturating_duration_since(Instant::now()));
    deployment.store.do_late();
    if !deployment.wait_until_ready(1, limit) {
        return Err("the router is not ready after its restart".to_owned());
    }
    late.granted.first().cloned().ok_or("no tenant".to_owned())
}

/// Returns a tenant whose budget `account` holds tokens of in advance.
pub fn kept_tenant(deployment: &Deployment, account: &str) -> Result<String, String> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        for grant in deployment.store.grants() {
            if grant.holder == account {
                return Ok(grant.tenant);
            }
        }
        sleep(Duration::from_millis(50));
    }
    Err(format!("{account} holds tokens of no tenant"))
}

/// Returns an engine's behaviour: a short stream, whole and at once.
pub fn whole_stream() -> Arc<Answer> {
    Arc::new(|engine, request, stream| {
        engine.begin_run(request);
        begin_stream(request, stream)?;
        write_events(stream, last_event_id(request) + 1, EVENTS)
    })
}

/// Sends a request with a large prompt; returns the answer and the tokens that were delivered.
pub fn ask(
    deployment: &Deployment,
    record: &Record,
    router: usize,
    tenant: &str,
    attempt: &str,
) -> (ClientAnswer, u64) {
    let request = ClientRequest {
        path: RESUMABLE,
        key: &tenant.replacen('t', "key-", 1),
        attempt,
        tokens: (PROMPT, EVENTS * STRIDE),
        deadline_ms: 6_000,
    };
    let answer = send(deployment.front(router), &request, record);
    let events = answer.event_ids().len() as u64;
    (answer, events * STRIDE)
}

/// Compares what a tenant got with what it has paid for: the prompts that engines ran, and the tokens
/// that were delivered.
pub fn verdict(deployment: &Deployment, record: &Record, tenant: &str, delivered: u64) -> Outcome {
    let mut total = delivered;
    for run in deployment.engines.iter().flat_map(|engine| engine.runs()) {
        if run.tenant == tenant {
            record.line(&format!(
                "judge: {} ran, prompt {}",
                run.attempt, run.prompt
            ));
            total += run.prompt;
        }
    }
    record.line(&format!(
        "judge: tenant {tenant} got {total} tokens of {PREPAID} prepaid"
    ));
    Ok(if total > PREPAID {
        Verdict::Broken
    } else if total < PROMPT {
        return Err("no request was served".to_owned());
    } else {
        Verdict::Held
    })
}
