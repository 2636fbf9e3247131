//! Test doubles: an in-memory store, scripted backend servers, and a gateway that uses both.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod backend;
pub mod clock;
pub mod fleet;
pub mod store;
