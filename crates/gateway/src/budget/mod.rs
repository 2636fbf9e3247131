//! Prepaid budgets: the ledger of all routers' tokens, this router's local budgets and draws, and
//! reservations at the routers that keep the budgets.

mod account_append;
mod budget_shards;
mod draw_loop;
mod draw_plan;
mod draw_task;
mod epoch_claim;
mod keeper_check;
mod keeper_client;
mod keeper_server;
mod last_accounts;
mod ledger;
mod ledger_shard;
mod ledger_view;
mod local_budget;
mod local_budgets;
mod remote_reservations;
mod reservation;
mod reserve;
mod retry_schedule;
mod return_forecast;
mod take_up_reserve;
mod token_queue;
mod writer_state;

pub use budget_shards::BudgetShards;
pub use draw_plan::{DrawSettings, Holding, plan_account};
pub use draw_task::DrawTask;
pub use epoch_claim::{EpochClaim, EpochOwner};
pub(crate) use keeper_client::{KeeperAnswer, endpoint};
pub use keeper_client::{KeeperClient, KeeperSettings};
pub(crate) use keeper_server::{reserve_for_peer, run_expiry, settle_for_peer};
pub(crate) use last_accounts::{keep_last_accounts, tell_last_accounts};
pub use ledger::{Account, AccountLedger, AccountLine};
pub use ledger_shard::LedgerShard;
pub use ledger_view::LedgerView;
pub use local_budget::{LocalBudget, Standing};
pub use local_budgets::{InsufficientTokens, LocalBudgets, TokenWaiter};
pub use remote_reservations::{RemoteReservations, ReservationKey};
pub use reservation::Reservation;
pub(crate) use reserve::{
    ReserveError, TokenRequest, TokenWait, is_spent, reserve_drawn, reserve_held,
};
pub use retry_schedule::RetrySchedule;
pub use return_forecast::{Forecast, ReturnForecast, RunId};
pub use take_up_reserve::TakeUpReserve;
pub use token_queue::{Ahead, QUEUE_LENGTH_MAX, Ticket, TokenClaim, TokenQueue};
