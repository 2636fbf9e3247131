//! Top-ups, which add prepaid tokens to a budget once per identifier.

use crate::{
    budget::keeper_task::ledger_stream,
    budget::ledger::{LEDGER_SHARDS, Ledger, shard_of},
    budget::ledger_records::{LedgerBatch, LedgerEntry, LedgerRecord, TopUpRecord},
    budget::record_outcome::{Balance, RecordEffect, VoidReason},
    config::config_task::load_config,
    error::{Category, Error, Result},
    id::{BudgetId, Incarnation, Offset, ParseIdError, Tokens, expected},
    stream::ledger_recovery::load_ledger,
    stream::log_client::LogClient,
};
use prost::Message;
use std::{
    fmt::{self, Display},
    str::FromStr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// The time limit for appending a top-up, retries included.
const APPEND_TIMEOUT_MS: u64 = 10_000;

/// The idempotency key of a top-up: an offset of the ledger stream and a name.
///
/// The ledger remembers keys for a fixed number of offsets only. The offset shows the age of the
/// top-up, so that a repetition after that time is void too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopUpId {
    /// The next offset of the ledger stream when the identifier was made.
    pub issued_at: Offset,
    /// The name.
    pub name: Arc<str>,
}

/// The result of a top-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopUpOutcome {
    /// The effect of the top-up's record.
    pub effect: RecordEffect,
    /// The balance of the budget afterwards.
    pub balance: Option<Balance>,
}

/// Reads the ledger of a shard.
///
/// # Errors
///
/// Fails when the log service can't be read, or retains neither the beginning of the stream nor a
/// checkpoint.
pub async fn read_ledger(log: &LogClient, shard: u32) -> Result<Ledger> {
    let (ledger, _) = load_ledger(log, &ledger_stream(shard)).await?;
    Ok(ledger)
}

/// Returns a new identifier for a top-up of a budget, issued at the current end of its stream.
///
/// # Errors
///
/// Fails when the log service can't be read.
pub async fn new_top_up_id(log: &LogClient, budget: &BudgetId) -> Result<TopUpId> {
    let stream = ledger_stream(shard_of(budget, LEDGER_SHARDS));
    let (_, issued_at) = log.bounds(&stream).await?;
    let name = Arc::from(Incarnation::random().to_string());
    Ok(TopUpId { issued_at, name })
}

/// Adds tokens to a budget once per identifier, even if the call is repeated.
///
/// For a budget that isn't in the ledger yet, the limit from the configuration is appended too.
///
/// # Errors
///
/// Fails with [`Category::Config`] when the configuration contains no such budget, and with the
/// errors of the log service. After [`Category::Unknown`], repeat the call with the same
/// identifier.
pub async fn top_up(
    log: &LogClient,
    budget: &BudgetId,
    id: &TopUpId,
    tokens: Tokens,
) -> Result<TopUpOutcome> {
    let stream = ledger_stream(shard_of(budget, LEDGER_SHARDS));
    let (mut ledger, mut follower) = load_ledger(log, &stream).await?;
    let mut records = Vec::new();
    if ledger.balance(budget).is_none() {
        records.push(limit_record(log, budget).await?);
    }
    records.push(LedgerRecord {
        entry: Some(LedgerEntry::TopUp(TopUpRecord {
            budget: budget.to_string(),
            id: id.to_string(),
            tokens: tokens.0,
            issued_at: id.issued_at.0,
        })),
    });
    let author = Incarnation::random().0;
    let batch = LedgerBatch {
        author,
        sequence: 1,
        records,
    };
    let deadline = Instant::now() + Duration::from_millis(APPEND_TIMEOUT_MS);
    let record = batch.encode_to_vec();
    log.append_until(&stream, record.into(), deadline).await?;
    let mut effect = None;
    let replay = follower.catch_up(|record| {
        let batch = LedgerBatch::decode(record.data).unwrap_or_default();
        let is_own = batch.author == author && effect.is_none();
        if let Ok(outcomes) = ledger.apply(record.offset, &batch)
            && is_own
        {
            effect = outcomes.last().map(|outcome| outcome.effect);
        }
    });
    replay.await?;
    match effect {
        Some(effect) => Ok(TopUpOutcome {
            effect,
            balance: ledger.balance(budget),
        }),
        None => Err(Error::new(
            Category::Unknown,
            "top up a budget",
            stream,
            "the record was appended but can't be read back",
        )),
    }
}

async fn limit_record(log: &LogClient, budget: &BudgetId) -> Result<LedgerRecord> {
    let configuration = load_config(log).await?;
    match configuration.fleet().budgets.get(budget) {
        Some(found) => Ok(LedgerRecord::limit(
            budget,
            configuration.version(),
            found.tokens,
        )),
        None => Err(Error::new(
            Category::Config,
            "top up a budget",
            budget,
            "the configuration has no such budget",
        )),
    }
}

impl TopUpOutcome {
    /// Returns whether the tokens were added to the budget, by this call or an earlier one.
    pub fn is_applied(&self) -> bool {
        matches!(
            self.effect,
            RecordEffect::ToppedUp(_) | RecordEffect::Void(VoidReason::Duplicate)
        )
    }
}

impl Display for TopUpId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.issued_at, self.name)
    }
}

impl FromStr for TopUpId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        const FORM: &str = "an offset and a name joined by a dot, as the first try printed it";
        let Some((issued_at, name)) = text.split_once('.') else {
            return expected(FORM);
        };
        match issued_at.parse() {
            Ok(issued_at) if !name.is_empty() => Ok(Self {
                issued_at,
                name: Arc::from(name),
            }),
            _ => expected(FORM),
        }
    }
}
