//! Stand-ins and forwarders as processes.

use crate::{Failure, Process, Program};
use mallowpath_standins::{client, forwarder::Mode};
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr};

/// A stand-in that runs as a process.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where its settings are changed.
    control: SocketAddr,
}

impl Standin {
    /// Starts a stand-in of a kind that `mallowpath-standins` knows.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn start(name: &str, kind: &str, settings: &Value) -> Result<Self, Failure> {
        let settings = settings.to_string();
        let process = Process::spawn(name, Program::Standins, &[kind, "--settings", &settings])?;
        let address = process.address("listening")?;
        let control = process.address("admin").unwrap_or(address);
        Ok(Self {
            process,
            address,
            control,
        })
    }

    /// Changes settings of the running stand-in.
    ///
    /// # Panics
    ///
    /// Panics when it does not take them.
    pub async fn change(&self, changes: Value) {
        let name = self.process.name();
        let answer =
            client::send_and_read(self.control, "POST /control", &[], &changes.to_string()).await;
        let answer = answer.unwrap_or_else(|error| panic!("{name} can't be changed: {error}"));
        assert_eq!(answer.status, 200, "{name}: {}", answer.text);
    }

    /// Returns what the stand-in has counted.
    ///
    /// # Panics
    ///
    /// Panics when it does not answer.
    pub async fn stats(&self) -> Value {
        let answer = client::send_and_read(self.address, "GET /v1/stats", &[], "").await;
        let name = self.process.name();
        let answer = answer.unwrap_or_else(|error| panic!("{name} gives no stats: {error}"));
        answer.json()
    }
}

/// A way from one process to another that can fail.
#[derive(Debug)]
pub struct Forwarder(Standin);

impl Forwarder {
    /// Returns where the way begins.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Sets what happens on the way.
    pub async fn set_mode(&self, mode: Mode) {
        self.0.change(json!({ "mode": mode })).await;
    }

    /// Sets how long each piece of data is held.
    pub async fn set_delay_ms(&self, delay_ms: u64) {
        self.0.change(json!({ "delay_ms": delay_ms })).await;
    }
}

/// The forwarders of a cluster, by the names of both ends.
#[derive(Debug, Default)]
pub struct Network {
    forwarders: BTreeMap<(String, String), Forwarder>,
}

impl Network {
    /// Puts a forwarder before `target` for the process `from` and returns its address.
    ///
    /// # Errors
    ///
    /// Fails when the forwarder does not start.
    pub fn place(
        &mut self,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, Failure> {
        let settings = json!({ "target": target });
        let name = format!("{from} to {to}");
        let forwarder = Forwarder(Standin::start(&name, "forwarder", &settings)?);
        let address = forwarder.address();
        let ends = (from.to_owned(), to.to_owned());
        self.forwarders.insert(ends, forwarder);
        Ok(address)
    }

    /// Returns the forwarder between two processes.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn between(&self, from: &str, to: &str) -> &Forwarder {
        let ends = (from.to_owned(), to.to_owned());
        let found = self.forwarders.get(&ends);
        found.unwrap_or_else(|| panic!("no forwarder from {from} to {to}"))
    }
}
