//! Prepaid budgets: the ledger of all routers' tokens, and this router's local budgets and draws.

mod draw_plan;
mod draw_task;
mod ledger;
mod ledger_view;
mod local_budgets;

pub use draw_plan::{DrawSettings, Holding, plan_account};
pub use draw_task::DrawTask;
pub(crate) use draw_task::{return_unspent, run_draws};
pub use ledger::{Account, AccountLedger, AccountLine};
pub use ledger_view::LedgerView;
pub use local_budgets::{InsufficientTokens, LocalBudgets, Reservation, TokenWaiter};
