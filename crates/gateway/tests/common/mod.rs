//! A store in memory, backend servers that answer as a test says, and times of replayed loads.

#![allow(dead_code, reason = "every test file uses a part of it")]

pub mod backend;
pub mod clock;
pub mod fleet;
pub mod store;
