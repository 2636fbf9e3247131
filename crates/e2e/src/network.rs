//! Stand-ins and network forwarders that run as separate processes.

use crate::{BoxError, Process, Program};
use mallowpath_standins::{client, forwarder::Mode};
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr};

/// A stand-in that runs as a separate process.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The address at which it accepts changes of its settings.
    control: SocketAddr,
}

impl Standin {
    /// Starts a stand-in; `kind` is a subcommand of `mallowpath-standins`.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn start(name: &str, kind: &str, settings: &Value) -> Result<Self, BoxError> {
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

    /// Changes settings of the running stand-in to those given in `changes`.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in does not answer or rejects the changes.
    pub async fn change_settings(&self, changes: Value) {
        let name = self.process.name();
        let answer =
            client::send_and_read(self.control, "POST /control", &[], &changes.to_string()).await;
        let answer = answer
            .unwrap_or_else(|error| panic!("could not change the settings of {name}: {error}"));
        assert_eq!(answer.status, 200, "{name}: {}", answer.text);
    }

    /// Returns the statistics of the stand-in.
    ///
    /// # Panics
    ///
    /// Panics when it does not answer.
    pub async fn stats(&self) -> Value {
        let answer = client::send_and_read(self.address, "GET /v1/stats", &[], "").await;
        let name = self.process.name();
        let answer = answer
            .unwrap_or_else(|error| panic!("could not read the statistics of {name}: {error}"));
        answer.json()
    }
}

/// A forwarder between two processes that can inject network faults.
#[derive(Debug)]
pub struct Forwarder(Standin);

impl Forwarder {
    /// Returns the address at which the forwarder listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Sets the fault that the forwarder injects, or [`Mode::Open`] for none.
    pub async fn set_mode(&self, mode: Mode) {
        self.0.change_settings(json!({ "mode": mode })).await;
    }

    /// Sets how long each piece of data is delayed, in each direction.
    pub async fn set_delay_ms(&self, delay_ms: u64) {
        self.0
            .change_settings(json!({ "delay_ms": delay_ms }))
            .await;
    }
}

/// The forwarders of a cluster, by the names of the two processes that each connects.
#[derive(Debug, Default)]
pub struct Network {
    forwarders: BTreeMap<(String, String), Forwarder>,
}

impl Network {
    /// Starts a forwarder from the process `from` to `target` and returns its address.
    ///
    /// # Errors
    ///
    /// Fails when the forwarder does not start.
    pub fn add_forwarder(
        &mut self,
        from: &str,
        to: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr, BoxError> {
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
    /// Panics when there is no such forwarder.
    pub fn forwarder(&self, from: &str, to: &str) -> &Forwarder {
        let ends = (from.to_owned(), to.to_owned());
        let found = self.forwarders.get(&ends);
        found.unwrap_or_else(|| panic!("no forwarder from {from} to {to}"))
    }
}
