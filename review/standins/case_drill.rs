//! An entry host is taken away in the seconds that a drill of the store then loses.

use crate::{
    Outcome,
    case_epoch::{ask, kept_tenant, verdict, whole_stream},
    deployment::Deployment,
    process::SIGTERM,
    record::Record,
};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time after the drill for routers and engines to notice it.
const AFTER_DRILL: Duration = Duration::from_secs(8);

/// How often a refused request is sent again at most.
const TRIES: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, 2, [whole_stream(), whole_stream()])?;
    let leaving = deployment.account(1);
    let tenant = kept_tenant(&deployment, &leaving)?;
    sleep(Duration::from_secs(2));
    deployment.store.take_copy();
    let copied = Instant::now();
    record.line("store: a copy is taken");
    let (answer, mut spent) = ask(&deployment, record, 1, &tenant, "first");
    if answer.status != 200 {
        return Err("the first request was not served".to_owned());
    }
    // Planned work: the host is stopped and leaves.
    deployment.signal_router(1, SIGTERM);
    deployment.wait_for_end(1, Duration::from_secs(8));
    if trouble {
        deployment.set_heartbeats(false);
        deployment.store.go_away();
        record.line("store: away");
        sleep(AWAY);
        deployment.store.come_back_from_copy();
        record.line(&format!(
            "store: back from the copy, {:.1} s old",
            copied.elapsed().as_secs_f64()
        ));
        // What the operator and the engines wrote is written again.
        deployment.write_configuration();
        deployment.write_entries(100);
        deployment.set_heartbeats(true);
    }
    sleep(AFTER_DRILL);
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
