//! Reservations that other routers hold of the budgets that this router keeps.

use super::reservation::Reservation;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use tokio::sync::watch;

/// Identifies a reservation of another router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReservationKey {
    /// The incarnation of the router.
    pub router: u64,
    /// The number of the reservation among those of the incarnation.
    pub number: u64,
}

/// The reservations of other routers.
#[derive(Debug, Default)]
pub struct RemoteReservations {
    /// No other lock is acquired while this one is held.
    entries: Mutex<HashMap<ReservationKey, Entry>>,
}

#[derive(Debug)]
struct Entry {
    /// `None` while the tokens are drawn.
    reservation: Option<Reservation>,
    expires_at: Instant,
    /// Closed when the reservation ends.
    end: watch::Sender<()>,
}

impl RemoteReservations {
    /// Adds a reservation whose tokens are not reserved yet.
    pub fn open(&self, key: ReservationKey, expires_at: Instant) {
        let entry = Entry {
            reservation: None,
            expires_at,
            end: watch::Sender::new(()),
        };
        self.lock().insert(key, entry);
    }

    /// Adds the reserved tokens; releases them if the reservation was settled in the meantime.
    ///
    /// Returns whether the reservation is still open.
    pub fn hold(&self, key: ReservationKey, reservation: Reservation) -> bool {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&key) else {
            drop(entries);
            drop(reservation);
            return false;
        };
        entry.reservation = Some(reservation);
        true
    }

    /// Waits until a reservation has ended.
    pub async fn ended(&self, key: ReservationKey) {
        let end = self.lock().get(&key).map(|entry| entry.end.subscribe());
        if let Some(mut end) = end {
            // Fails when the sender is dropped with its entry.
            let _ = end.changed().await;
        }
    }

    /// Ends a reservation, of which `spent_tokens` count as spent; ignores an unknown one.
    pub fn settle(&self, key: ReservationKey, spent_tokens: u64) {
        // The lock is released before the reservation is dropped, which locks the local budgets.
        let entry = self.lock().remove(&key);
        if let Some(mut reservation) = entry.and_then(|entry| entry.reservation) {
            reservation.set_spent(spent_tokens);
        }
    }

    /// Counts the reservations that expired before `now` as spent and returns their number.
    ///
    /// Their routers have ended or can't be reached, so what they spent is unknown.
    pub fn expire(&self, now: Instant) -> usize {
        let mut expired = Vec::new();
        self.lock().retain(|_, entry| {
            let is_expired = entry.expires_at <= now;
            if is_expired {
                expired.push(entry.reservation.take());
            }
            !is_expired
        });
        let count = expired.len();
        for mut reservation in expired.into_iter().flatten() {
            reservation.mark_all_spent();
        }
        count
    }

    /// Returns the number of reservations.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether there is no reservation.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReservationKey, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
