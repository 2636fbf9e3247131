//! Stand-ins for the clients, the model engines and the platform, and the cases that use them.
//!
//! Usage: `standins CASE FOLDER TROUBLE`; called by the `run.sh` of each case. Exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case couldn't run. With 0 for TROUBLE the disruption is left out.
//!
//! This folder is code that all cases share, so it has no claim of its own.

mod case_drill;
mod case_epoch;
mod case_extra;
mod case_piece;
mod case_silence;
mod client;
mod deployment;
mod engine;
mod http;
mod process;
mod record;
mod store;

use std::{process::exit, thread, time::Duration};

/// The result of a case.
pub type Outcome = Result<Verdict, String>;

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Time after which a case that has not ended is given up.
const CASE_TIME_MAX: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TROUBLE");
        exit(2);
    };
    let trouble = trouble != "0";
    thread::spawn(|| {
        thread::sleep(CASE_TIME_MAX);
        eprintln!("the case took too long");
        process::kill_all();
        exit(2);
    });
    let record = record::Record::create(folder);
    record.line(&format!("case {case}, trouble {trouble}"));
    let outcome = match case.as_str() {
        "epoch" => case_epoch::run(&record, trouble),
        "drill" => case_drill::run(&record, trouble),
        "extra" => case_extra::run(&record, trouble),
        "piece" => case_piece::run(&record, trouble),
        "silence" => case_silence::run(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    process::kill_all();
    let code = match outcome {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            1
        }
        Err(error) => {
            record.line(&format!("verdict: the case couldn't run: {error}"));
            eprintln!("{error}");
            2
        }
    };
    exit(code);
}
