//! Bills: replicated before an answer is declared complete, appended to the log, and audited.

pub(crate) mod audit;
pub(crate) mod audit_log;
pub(crate) mod bill;
pub(crate) mod bill_book;
pub(crate) mod bill_shelf;
pub(crate) mod bills;
