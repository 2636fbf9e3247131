//! Plays the cases of the second review that are no days of the bench: `bed CASE RECORD`, in the
//! repository's root.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With
//! `TROUBLE=0` the case is played without its disruption.

mod client;
mod drill;
mod engine;
mod fleet;
mod http;
mod moved;
mod record;
mod restored;
mod store;

use std::process::ExitCode;

/// The end of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record] = &words[..] else {
        eprintln!("usage: bed CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    // A panic of the main thread, say where an address is in use, is a case that couldn't run.
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "drill" => drill::play(&trouble, record),
        "moved" => moved::play(&trouble, record),
        "restored" => restored::play(&trouble, record),
        _ => Verdict::NotRun,
    });
    match played.unwrap_or(Verdict::NotRun) {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
