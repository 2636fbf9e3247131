//! Bills: replicated before an answer is declared complete, appended to the log, and audited.

pub(crate) mod audit_log;
pub(crate) mod bill;
pub(crate) mod bill_audit;
pub(crate) mod kept_bills;
pub(crate) mod pending_bills;
pub(crate) mod router_billing;
