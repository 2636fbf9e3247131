//! Baseline routing policies, which benchmarks and tests compare with [`RouteTable::choose`].

use crate::{
    BackendId,
    routing::backend::Backend,
    routing::route::{NoBackend, RouteTable},
};

/// Chooses the backend servers in turn; the caller increments `turn` with each request.
///
/// # Errors
///
/// Returns [`NoBackend`] with the time to wait before a retry if no backend server takes work.
pub fn round_robin<'a>(
    table: &'a RouteTable,
    exclude: &[BackendId],
    now_ms: u64,
    turn: u64,
) -> Result<&'a Backend, NoBackend> {
    let eligible = table.eligible(exclude, now_ms);
    if eligible.is_empty() {
        return Err(table.no_backend(now_ms));
    }
    let index = usize::try_from(turn % eligible.len() as u64).unwrap_or(0);
    Ok(&table.backends()[eligible[index]])
}

/// Chooses the backend server with the fewest requests of this router in flight.
///
/// The random number `draw` breaks ties.
///
/// # Errors
///
/// Returns [`NoBackend`] with the time to wait before a retry if no backend server takes work.
pub fn least_outstanding<'a>(
    table: &'a RouteTable,
    exclude: &[BackendId],
    now_ms: u64,
    draw: u64,
) -> Result<&'a Backend, NoBackend> {
    let eligible = table.eligible(exclude, now_ms);
    let first = usize::try_from(draw % eligible.len().max(1) as u64).unwrap_or(0);
    let mut best: Option<&Backend> = None;
    for position in 0..eligible.len() {
        let index = eligible[(first + position) % eligible.len()];
        let backend = &table.backends()[index];
        if best.is_none_or(|best| backend.own_in_flight() < best.own_in_flight()) {
            best = Some(backend);
        }
    }
    best.ok_or_else(|| table.no_backend(now_ms))
}
