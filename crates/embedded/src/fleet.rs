//! Starts, kills and restarts the routers and sidecars of an embedded fleet.

use crate::{example_configuration, simulated_process::SimulatedProcess};
use mallowpath::{
    HostLimits, HostSettings, LogClient, LogClientSettings, PeerTiming, Router, RouterAddresses,
    RouterSettings, RouterTuning, Sections, Sidecar, SidecarAddresses, SidecarSettings,
    SidecarTuning, publish,
};
use mallowpath_standins::{client, host_list, log_service, plain_service, simulated_engine};
use std::{
    collections::BTreeMap,
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

const MAX_CONNECT_POLLS: u32 = 200;
const CONNECT_POLL_INTERVAL_MS: u64 = 25;

/// Settings of an embedded fleet: its processes, its stand-ins and their tuning.
#[derive(Debug, Clone)]
pub struct EmbeddedFleetSettings {
    /// Address on which the first router accepts callers; the other routers use free ports.
    pub callers_listen: SocketAddr,
    /// Number of routers.
    pub routers: usize,
    /// Number of availability zones; hosts are assigned to them round-robin.
    pub zones: usize,
    /// Stand-ins for backend servers of models: name of the model and settings of each.
    pub model_backends: Vec<(String, simulated_engine::Settings)>,
    /// Stand-ins for backend servers of plain services: name of the service and settings of each.
    pub plain_backends: Vec<(String, plain_service::Settings)>,
    /// Settings of the log service.
    pub log_service: log_service::Settings,
    /// Configuration that is published before any process starts.
    pub configuration: Sections,
    /// Timeouts and heartbeat interval of connections between processes.
    pub timing: PeerTiming,
    /// Tuning of the routers.
    pub router_tuning: RouterTuning,
    /// Tuning of the sidecars.
    pub sidecar_tuning: SidecarTuning,
}

/// A running embedded fleet; dropping it kills every process.
#[derive(Debug)]
pub struct EmbeddedFleet {
    /// Routers with their addresses.
    pub routers: Vec<(Arc<Router>, RouterAddresses)>,
    /// Sidecars, those of `model_backends` first.
    pub sidecars: Vec<Arc<Sidecar>>,
    /// Addresses of the sidecars, in the order of `sidecars`.
    pub sidecar_addresses: Vec<SidecarAddresses>,
    settings: EmbeddedFleetSettings,
    router_processes: Vec<SimulatedProcess>,
    sidecar_processes: Vec<SimulatedProcess>,
    /// Service and backend server address of each sidecar; needed to restart it.
    backends: Vec<(String, SocketAddr)>,
    /// Stand-in for the log service.
    pub log_service: mallowpath_standins::Handle<log_service::Settings>,
    /// Stand-in for the host list.
    pub host_list: mallowpath_standins::Handle<host_list::Settings>,
    /// Stand-ins for backend servers of models.
    pub model_backends: Vec<mallowpath_standins::Handle<simulated_engine::Settings>>,
    /// Stand-ins for backend servers of plain services.
    pub plain_backends: Vec<mallowpath_standins::Handle<plain_service::Settings>>,
}

impl EmbeddedFleet {
    /// Starts all processes and waits until each router is connected to the sidecars it uses.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or stand-in can't be started, or if the configuration can't be
    /// published.
    pub async fn start(
        settings: EmbeddedFleetSettings,
    ) -> Result<Self, Box<dyn Error + Send + Sync>> {
        let log_service = log_service::start(settings.log_service.clone()).await?;
        let host_list = host_list::start(host_list::Settings::default()).await?;
        let client = LogClient::new(log_service.address, LogClientSettings::default());
        publish(&client, &settings.configuration, "embedded").await?;
        let mut fleet = Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            sidecar_addresses: Vec::new(),
            settings: settings.clone(),
            router_processes: Vec::new(),
            sidecar_processes: Vec::new(),
            backends: Vec::new(),
            log_service,
            host_list,
            model_backends: Vec::new(),
            plain_backends: Vec::new(),
        };
        fleet.start_backends(&settings).await?;
        fleet.start_routers(&settings).await?;
        fleet.wait_until_connected().await;
        Ok(fleet)
    }

    async fn start_backends(
        &mut self,
        settings: &EmbeddedFleetSettings,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        for (model, backend_settings) in &settings.model_backends {
            let handle = simulated_engine::start(backend_settings.clone()).await?;
            let address = handle.address;
            self.model_backends.push(handle);
            self.start_sidecar(model, address).await?;
        }
        for (service, service_settings) in &settings.plain_backends {
            let handle = plain_service::start(service_settings.clone()).await?;
            let address = handle.address;
            self.plain_backends.push(handle);
            self.start_sidecar(service, address).await?;
        }
        Ok(())
    }

    async fn start_sidecar(
        &mut self,
        service: &str,
        backend_address: SocketAddr,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        let number = self.sidecars.len();
        self.backends.push((service.to_owned(), backend_address));
        let (process, sidecar, addresses) = self.spawn_sidecar(number).await?;
        self.sidecar_processes.push(process);
        self.sidecars.push(sidecar);
        self.sidecar_addresses.push(addresses);
        Ok(())
    }

    async fn spawn_sidecar(
        &self,
        number: usize,
    ) -> Result<(SimulatedProcess, Arc<Sidecar>, SidecarAddresses), Box<dyn Error + Send + Sync>>
    {
        let (service, backend_address) = &self.backends[number];
        let name = format!("{service}-{number}");
        let sidecar_settings = SidecarSettings {
            host: self.host_settings(&name, &self.settings, number)?,
            backend: name.parse()?,
            backend_address: *backend_address,
            service: service.parse()?,
            timing: self.settings.timing.clone(),
            tuning: self.settings.sidecar_tuning.clone(),
        };
        let zone = sidecar_settings.host.zone.to_string();
        let process = SimulatedProcess::new()?;
        let (sidecar, addresses) = process
            .spawn_and_wait(Sidecar::start(sidecar_settings))
            .await??;
        let entry = Self::host_list_entry(&name, "sidecar", &zone, addresses.peers);
        let entry_with_service = host_list::Host {
            service: service.clone(),
            ..entry
        };
        host_list::add_host(self.host_list.address, &entry_with_service).await?;
        Ok((process, sidecar, addresses))
    }

    async fn start_routers(
        &mut self,
        settings: &EmbeddedFleetSettings,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        for number in 0..settings.routers {
            let (process, router) = self.spawn_router(number).await?;
            self.router_processes.push(process);
            self.routers.push(router);
        }
        Ok(())
    }

    async fn spawn_router(
        &self,
        number: usize,
    ) -> Result<(SimulatedProcess, (Arc<Router>, RouterAddresses)), Box<dyn Error + Send + Sync>>
    {
        let name = format!("router-{number}");
        let callers_listen = if number == 0 {
            self.settings.callers_listen
        } else {
            loopback_free_port()
        };
        let router_settings = RouterSettings {
            host: self.host_settings(&name, &self.settings, number)?,
            callers_listen,
            timing: self.settings.timing.clone(),
            tuning: RouterTuning {
                keys_without_witness: self.settings.routers == 1,
                ..self.settings.router_tuning.clone()
            },
        };
        let zone = router_settings.host.zone.to_string();
        let process = SimulatedProcess::new()?;
        let (router, addresses) = process
            .spawn_and_wait(Router::start(router_settings))
            .await??;
        let entry = Self::host_list_entry(&name, "router", &zone, addresses.peers);
        host_list::add_host(self.host_list.address, &entry).await?;
        Ok((process, (router, addresses)))
    }

    /// Kills a router as a crash does; its host stays on the host list.
    pub fn kill_router(&mut self, number: usize) {
        self.router_processes[number].kill();
    }

    /// Kills a sidecar as a crash does; its host stays on the host list.
    pub fn kill_sidecar(&mut self, number: usize) {
        self.sidecar_processes[number].kill();
    }

    /// Kills a router and starts a new one under the same host name.
    ///
    /// # Errors
    ///
    /// Returns an error if the new router can't be started.
    pub async fn restart_router(
        &mut self,
        number: usize,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        self.kill_router(number);
        let (process, router) = self.spawn_router(number).await?;
        self.router_processes[number] = process;
        self.routers[number] = router;
        Ok(())
    }

    /// Kills a sidecar and starts a new one under the same host name.
    ///
    /// # Errors
    ///
    /// Returns an error if the new sidecar can't be started.
    pub async fn restart_sidecar(
        &mut self,
        number: usize,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        self.kill_sidecar(number);
        let (process, sidecar, addresses) = self.spawn_sidecar(number).await?;
        self.sidecar_processes[number] = process;
        self.sidecars[number] = sidecar;
        self.sidecar_addresses[number] = addresses;
        Ok(())
    }

    /// Removes a host from the host list, as the platform does once the host is gone.
    ///
    /// # Errors
    ///
    /// Returns an error if the host list can't be reached.
    pub async fn remove_from_host_list(
        &self,
        name: &str,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        let path = format!("DELETE /v1/hosts/{name}");
        client::send_and_read(self.host_list.address, &path, &[], "").await?;
        Ok(())
    }

    fn host_settings(
        &self,
        name: &str,
        settings: &EmbeddedFleetSettings,
        number: usize,
    ) -> Result<HostSettings, Box<dyn Error + Send + Sync>> {
        Ok(HostSettings {
            name: name.parse()?,
            zone: format!("zone-{}", number % settings.zones.max(1)).parse()?,
            region: "local".parse()?,
            peer_listen: loopback_free_port(),
            admin_listen: loopback_free_port(),
            log_service: self.log_service.address,
            host_list: self.host_list.address,
            limits: HostLimits::default(),
        })
    }

    /// Returns the host list entry that the platform registers for a host.
    fn host_list_entry(name: &str, role: &str, zone: &str, address: SocketAddr) -> host_list::Host {
        host_list::Host {
            name: name.to_owned(),
            address,
            role: role.to_owned(),
            availability_zone: zone.to_owned(),
            region: "local".to_owned(),
            state: "live".to_owned(),
            service: String::new(),
        }
    }

    /// Waits until each router is connected to as many sidecars as its subsets contain.
    ///
    /// Logs a warning and returns when that takes longer than 5 s.
    pub async fn wait_until_connected(&self) {
        let settings = &self.settings;
        let mut per_service: BTreeMap<&str, u64> = BTreeMap::new();
        for (service, _) in &settings.model_backends {
            *per_service.entry(service).or_default() += 1;
        }
        for (service, _) in &settings.plain_backends {
            *per_service.entry(service).or_default() += 1;
        }
        let mut expected = 0;
        for count in per_service.values() {
            expected += *count.min(&settings.router_tuning.sidecars_per_service);
        }
        for _ in 0..MAX_CONNECT_POLLS {
            let mut connected = true;
            for (router, _) in &self.routers {
                connected &= router.connected_backends() as u64 >= expected;
            }
            if connected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(CONNECT_POLL_INTERVAL_MS)).await;
        }
        log::warn!("timed out waiting for the routers to connect to their sidecars; continuing");
    }
}

fn loopback_free_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Default for EmbeddedFleetSettings {
    fn default() -> Self {
        let model_backend = simulated_engine::Settings {
            model: "small".into(),
            ..simulated_engine::Settings::default()
        };
        let plain_backend = plain_service::Settings::default();
        Self {
            callers_listen: loopback_free_port(),
            routers: 1,
            zones: 1,
            model_backends: vec![
                ("small".into(), model_backend.clone()),
                ("small".into(), model_backend),
            ],
            plain_backends: vec![
                ("lookup".into(), plain_backend.clone()),
                ("notices".into(), plain_backend),
            ],
            log_service: log_service::Settings::default(),
            configuration: example_configuration(),
            timing: PeerTiming::default(),
            router_tuning: RouterTuning::default(),
            sidecar_tuning: SidecarTuning::default(),
        }
    }
}
