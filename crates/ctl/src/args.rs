//! The command line arguments of `mallowpathctl` and their help texts.

use argh::FromArgs;
use mallowpath::{BudgetId, TopUpId, Version};
use std::{convert::Infallible, net::SocketAddr, path::PathBuf, str::FromStr};

/// Checks, publishes and watches a mallowpath fleet.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Every command prints its result to the standard output and problems to the standard error.
With --json the result is one JSON value.",
    example = "Check a folder, publish it, and see that it is in force everywhere:
$ {command_name} check fleet/
$ {command_name} publish fleet/ --log 10.0.0.5:9000 --author ann
$ {command_name} status --hosts 10.0.0.6:9000",
    error_code(0, "done"),
    error_code(1, "failed, or a fault was found; the standard error says what"),
    error_code(2, "wrong usage, configuration or arguments; nothing was changed"),
    error_code(
        3,
        "another operator's change came first; nothing of this one is in force"
    )
)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(Check),
    Publish(Publish),
    Status(Status),
    Dump(Dump),
    Budget(Budget),
    Drain(Drain),
    Audit(Audit),
    Explain(Explain),
}

/// Check a configuration folder before it is sent and report all that is wrong.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    note = "Without --against ADDRESS no connection is made. Warnings name entries of a valid folder that
never have an effect, and limits that contradict each other. Differences don't change the status.",
    example = "Check a folder; then take warnings as errors and see what differs from the version in force:
$ {command_name} fleet/\n20-budgets.ini:3: [budget panels] tokens = \"2m\": expected …
$ {command_name} fleet/ --strict --against 10.0.0.5:9000",
    error_code(1, "the log service did not give the version in force"),
    error_code(
        2,
        "a folder is not valid, or there are warnings and --strict was given"
    )
)]
pub(crate) struct Check {
    /// folder of *.ini files, merged in the order of their names
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// print what differs from the version in force, read from the log service at this IP address
    /// and port, or else from this folder
    #[argh(option)]
    pub(crate) against: Option<Against>,
    /// exit with the status of an invalid folder if there are warnings
    #[argh(switch)]
    pub(crate) strict: bool,
    /// print a JSON value
    #[argh(switch)]
    pub(crate) json: bool,
}

/// What `check --against` compares with.
#[derive(Debug)]
pub(crate) enum Against {
    /// The version in force, from the log service at this address.
    Log(SocketAddr),
    /// A configuration folder.
    Folder(PathBuf),
}

/// Make a folder the configuration in force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    note = "Only the sections that differ are sent. With --base the change is refused unless that version
is in force, so that a folder made from an older version does not undo later changes. If the
log service does not confirm the change, run the command again: it says if nothing differs.
A change over 1 MiB is published as several, each valid by itself.",
    example = "See what would change, then change it if version 41 is still in force:
$ {command_name} fleet/ --log 10.0.0.5:9000 --author ann --dry-run
$ {command_name} fleet/ --log 10.0.0.5:9000 --author ann --base 41",
    error_code(2, "the folder is not valid, or can't be split; nothing was published"),
    error_code(
        3,
        "another version came first; the standard error names it and its author"
    )
)]
pub(crate) struct Publish {
    /// folder of *.ini files, merged in the order of their names
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// IP address and port of the log service
    #[argh(option)]
    pub(crate) log: SocketAddr,
    /// who makes the change, shown to others
    #[argh(option)]
    pub(crate) author: String,
    /// the version that the folder was made from
    #[argh(option)]
    pub(crate) base: Option<Version>,
    /// print what differs and publish nothing
    #[argh(switch)]
    pub(crate) dry_run: bool,
    /// print a JSON value
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show every process: whether it is ready, its configuration, and what lags.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    note = "Each process of the host list is asked at its address for peers where its admin listener is.
Where that address can't be reached from here, name the admin listeners by --admin.",
    example = "$ {command_name} --hosts 10.0.0.6:9000\n$ {command_name} --admin 10.0.1.1:7002 --admin 10.0.1.2:7002 --json",
    error_code(1, "a process can't be reached, is not ready or lags")
)]
pub(crate) struct Status {
    /// IP address and port of the host list
    #[argh(option)]
    pub(crate) hosts: Option<SocketAddr>,
    /// IP address and port of an admin listener; may be repeated
    #[argh(option)]
    pub(crate) admin: Vec<SocketAddr>,
    /// print a JSON value
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the whole state of one process as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump", example = "$ {command_name} 10.0.1.1:7002")]
pub(crate) struct Dump {
    /// IP address and port of the process's admin listener
    #[argh(positional)]
    pub(crate) admin: SocketAddr,
}

/// Let one process finish its work, take no more, and end.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    note = "The command returns at once; status shows the process as draining until it has ended.",
    example = "$ {command_name} 10.0.1.1:7002"
)]
pub(crate) struct Drain {
    /// IP address and port of the process's admin listener
    #[argh(positional)]
    pub(crate) admin: SocketAddr,
    /// print a JSON value
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show budgets and add tokens to them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "budget")]
pub(crate) struct Budget {
    #[argh(subcommand)]
    pub(crate) command: BudgetCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum BudgetCommand {
    Show(BudgetShow),
    TopUp(BudgetTopUp),
}

/// Show what budgets hold by their ledgers.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    note = "PAID is the limit of the configuration and the top-ups. GRANTED is out at routers and may yet
come back or be spent; SPENT is surely spent. A budget shows up once it was used or topped up.",
    example = "$ {command_name} --log 10.0.0.5:9000 panels-2026"
)]
pub(crate) struct BudgetShow {
    /// names of budgets; all if none is named
    #[argh(positional)]
    pub(crate) budgets: Vec<BudgetId>,
    /// IP address and port of the log service
    #[argh(option)]
    pub(crate) log: SocketAddr,
    /// print a JSON value
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Add prepaid tokens to a budget.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "top-up",
    note = "A try that failed may have added the tokens. Its output names an identifier: repeat the command
with it by --id, as often as needed, and the tokens are added once. An identifier is an offset and
a name joined by a dot; keep the offset that the first try printed and the name may be your own,
such as that of an invoice.",
    example = "$ {command_name} panels-2026 5M --log 10.0.0.5:9000\n$ {command_name} panels-2026 5M --log 10.0.0.5:9000 --id 1532.6f0c3a9d2b7e4815",
    error_code(1, "failed, perhaps with effect: repeat with the identifier"),
    error_code(
        2,
        "no such budget, or the identifier is too old or malformed; nothing was added"
    )
)]
pub(crate) struct BudgetTopUp {
    /// name of the budget
    #[argh(positional)]
    pub(crate) budget: BudgetId,
    /// how many tokens, such as 5k or 2M
    #[argh(positional)]
    pub(crate) tokens: String,
    /// IP address and port of the log service
    #[argh(option)]
    pub(crate) log: SocketAddr,
    /// identifier of an earlier try
    #[argh(option)]
    pub(crate) id: Option<TopUpId>,
    /// print a JSON value
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Set the bills in the log against the ledgers of the budgets.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "audit",
    note = "Copies of a bill are void and only counted. A conflict is a copy with another amount. Bills of a
budget may never exceed what is spent of it and what routers still hold (out).",
    example = "$ {command_name} --log 10.0.0.5:9000",
    error_code(1, "bills conflict, have no meaning or exceed what was handed out")
)]
pub(crate) struct Audit {
    /// IP address and port of the log service
    #[argh(option)]
    pub(crate) log: SocketAddr,
    /// print a JSON value
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Tell from logs how a request ended and what decided it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    note = "Reads the logs of the gateway's processes, in any order and from any number of hosts. What stands
before the JSON object of a line is passed over.",
    example = "$ {command_name} 4e9b5a90a43e6ad1 router-1.log router-2.log\n$ collect-logs | {command_name} 4e9b5a90a43e6ad1",
    error_code(1, "no line of the request was found"),
    error_code(2, "a file can't be read, or no line of a log was found")
)]
pub(crate) struct Explain {
    /// the request's identifier
    #[argh(positional)]
    pub(crate) request: String,
    /// files with logs; without any, the standard input is read
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

impl FromStr for Against {
    type Err = Infallible;

    /// Takes a text that is no IP address and port for a folder.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text.parse() {
            Ok(address) => Self::Log(address),
            Err(_) => Self::Folder(PathBuf::from(text)),
        })
    }
}
