//! Prepaid budgets: the ledger of all routers' tokens, and this router's local budgets and draws.

mod draw_task;
mod ledger;
mod ledger_view;
mod local_budgets;
mod plan;

pub use draw_task::DrawTask;
pub(crate) use draw_task::{return_all, run_draws};
pub use ledger::{Account, Ledger, Line};
pub use ledger_view::LedgerView;
pub use local_budgets::{LocalBudgets, Reservation, Shortage, Waiting};
pub use plan::{Holding, PlanSettings, plan};
