//! Starting and stopping the processes of a small fleet inside this process.

use crate::{example_configuration, process::Process};
use mallowpath::{
    HostSettings, LogClient, LogClientSettings, PeerTiming, Router, RouterAddresses,
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

const READY_TRIES: u32 = 200;
const READY_PAUSE_MS: u64 = 25;

/// What a site consists of.
#[derive(Debug, Clone)]
pub struct SiteSettings {
    /// Where the first router takes callers; the other routers take free ports.
    pub callers_listen: SocketAddr,
    /// Number of routers.
    pub routers: usize,
    /// Number of availability zones, over which hosts are spread in turn.
    pub zones: usize,
    /// Model engines: name of the model and how each behaves.
    pub engines: Vec<(String, simulated_engine::Settings)>,
    /// Plain services: name and how each behaves.
    pub services: Vec<(String, plain_service::Settings)>,
    /// The log service.
    pub log: log_service::Settings,
    /// The fleet's configuration.
    pub configuration: Sections,
    /// Times of connections between processes.
    pub timing: PeerTiming,
    /// Tuning of the routers.
    pub router_tuning: RouterTuning,
    /// Tuning of the sidecars.
    pub sidecar_tuning: SidecarTuning,
}

/// A running site; it ends when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// The routers with their addresses.
    pub routers: Vec<(Arc<Router>, RouterAddresses)>,
    /// The sidecars.
    pub sidecars: Vec<Arc<Sidecar>>,
    /// The addresses of the sidecars, in the same order.
    pub sidecar_addresses: Vec<SidecarAddresses>,
    settings: SiteSettings,
    router_processes: Vec<Process>,
    sidecar_processes: Vec<Process>,
    /// Service and backend address of each sidecar, for a restart.
    backends: Vec<(String, SocketAddr)>,
    /// The log service.
    pub log: mallowpath_standins::Handle<log_service::Settings>,
    /// The host list.
    pub hosts: mallowpath_standins::Handle<host_list::Settings>,
    /// The model engines.
    pub engines: Vec<mallowpath_standins::Handle<simulated_engine::Settings>>,
    /// The plain services.
    pub services: Vec<mallowpath_standins::Handle<plain_service::Settings>>,
}

impl Site {
    /// Starts all parts and waits until every router reaches every sidecar.
    ///
    /// # Errors
    ///
    /// Fails when a part can't be started.
    pub async fn start(settings: SiteSettings) -> Result<Self, Box<dyn Error + Send + Sync>> {
        let log = log_service::start(settings.log.clone()).await?;
        let hosts = host_list::start(host_list::Settings::default()).await?;
        let client = LogClient::new(log.address, LogClientSettings::default());
        publish(&client, &settings.configuration, "embedded").await?;
        let mut site = Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            sidecar_addresses: Vec::new(),
            settings: settings.clone(),
            router_processes: Vec::new(),
            sidecar_processes: Vec::new(),
            backends: Vec::new(),
            log,
            hosts,
            engines: Vec::new(),
            services: Vec::new(),
        };
        site.start_backends(&settings).await?;
        site.start_routers(&settings).await?;
        site.wait_until_connected().await;
        Ok(site)
    }

    async fn start_backends(
        &mut self,
        settings: &SiteSettings,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        for (model, engine) in &settings.engines {
            let handle = simulated_engine::start(engine.clone()).await?;
            let address = handle.address;
            self.engines.push(handle);
            self.start_sidecar(model, address).await?;
        }
        for (service, behaviour) in &settings.services {
            let handle = plain_service::start(behaviour.clone()).await?;
            let address = handle.address;
            self.services.push(handle);
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
        let (process, sidecar, addresses) = self.sidecar_process(number).await?;
        self.sidecar_processes.push(process);
        self.sidecars.push(sidecar);
        self.sidecar_addresses.push(addresses);
        Ok(())
    }

    async fn sidecar_process(
        &self,
        number: usize,
    ) -> Result<(Process, Arc<Sidecar>, SidecarAddresses), Box<dyn Error + Send + Sync>> {
        let (service, backend_address) = &self.backends[number];
        let name = format!("{service}-{number}");
        let sidecar_settings = SidecarSettings {
            host: self.place(&name, &self.settings, number)?,
            backend: name.parse()?,
            backend_address: *backend_address,
            service: service.parse()?,
            timing: self.settings.timing.clone(),
            tuning: self.settings.sidecar_tuning.clone(),
        };
        let zone = sidecar_settings.host.zone.to_string();
        let process = Process::new()?;
        let (sidecar, addresses) = process.run(Sidecar::start(sidecar_settings)).await??;
        let host = Self::host(&name, "sidecar", &zone, addresses.peers);
        let labelled = host_list::Host {
            service: service.clone(),
            ..host
        };
        host_list::add_host(self.hosts.address, &labelled).await?;
        Ok((process, sidecar, addresses))
    }

    async fn start_routers(
        &mut self,
        settings: &SiteSettings,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        for number in 0..settings.routers {
            let (process, router) = self.router_process(number).await?;
            self.router_processes.push(process);
            self.routers.push(router);
        }
        Ok(())
    }

    async fn router_process(
        &self,
        number: usize,
    ) -> Result<(Process, (Arc<Router>, RouterAddresses)), Box<dyn Error + Send + Sync>> {
        let name = format!("router-{number}");
        let callers_listen = if number == 0 {
            self.settings.callers_listen
        } else {
            free_port()
        };
        let router_settings = RouterSettings {
            host: self.place(&name, &self.settings, number)?,
            callers_listen,
            timing: self.settings.timing.clone(),
            tuning: RouterTuning {
                keys_without_witness: self.settings.routers == 1,
                ..self.settings.router_tuning.clone()
            },
        };
        let zone = router_settings.host.zone.to_string();
        let process = Process::new()?;
        let (router, addresses) = process.run(Router::start(router_settings)).await??;
        let host = Self::host(&name, "router", &zone, addresses.peers);
        host_list::add_host(self.hosts.address, &host).await?;
        Ok((process, (router, addresses)))
    }

    /// Ends a router as a crash does; the host list still has its host.
    pub fn kill_router(&mut self, number: usize) {
        self.router_processes[number].kill();
    }

    /// Ends a sidecar as a crash does; the host list still has its host.
    pub fn kill_sidecar(&mut self, number: usize) {
        self.sidecar_processes[number].kill();
    }

    /// Starts a router anew under its host's name.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn restart_router(
        &mut self,
        number: usize,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        self.kill_router(number);
        let (process, router) = self.router_process(number).await?;
        self.router_processes[number] = process;
        self.routers[number] = router;
        Ok(())
    }

    /// Starts a sidecar anew under its host's name.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn restart_sidecar(
        &mut self,
        number: usize,
    ) -> Result<(), Box<dyn Error + Send + Sync>> {
        self.kill_sidecar(number);
        let (process, sidecar, addresses) = self.sidecar_process(number).await?;
        self.sidecar_processes[number] = process;
        self.sidecars[number] = sidecar;
        self.sidecar_addresses[number] = addresses;
        Ok(())
    }

    /// Takes a host off the host list, as the platform does once it is gone.
    ///
    /// # Errors
    ///
    /// Fails when the host list can't be reached.
    pub async fn unlist(&self, name: &str) -> Result<(), Box<dyn Error + Send + Sync>> {
        let path = format!("DELETE /v1/hosts/{name}");
        client::send_and_read(self.hosts.address, &path, &[], "").await?;
        Ok(())
    }

    fn place(
        &self,
        name: &str,
        settings: &SiteSettings,
        number: usize,
    ) -> Result<HostSettings, Box<dyn Error + Send + Sync>> {
        Ok(HostSettings {
            name: name.parse()?,
            zone: format!("zone-{}", number % settings.zones.max(1)).parse()?,
            region: "local".parse()?,
            peer_listen: free_port(),
            admin_listen: free_port(),
            log_service: self.log.address,
            host_list: self.hosts.address,
        })
    }

    /// Describes a host as the platform enters it into the host list.
    fn host(name: &str, role: &str, zone: &str, address: SocketAddr) -> host_list::Host {
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

    /// Waits until every router has a connection to each sidecar of its subsets.
    pub async fn wait_until_connected(&self) {
        let settings = &self.settings;
        let mut per_service: BTreeMap<&str, u64> = BTreeMap::new();
        for (service, _) in &settings.engines {
            *per_service.entry(service).or_default() += 1;
        }
        for (service, _) in &settings.services {
            *per_service.entry(service).or_default() += 1;
        }
        let mut wanted = 0;
        for count in per_service.values() {
            wanted += *count.min(&settings.router_tuning.sidecars_per_service);
        }
        for _ in 0..READY_TRIES {
            let mut connected = true;
            for (router, _) in &self.routers {
                connected &= router.connected_backends() as u64 >= wanted;
            }
            if connected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(READY_PAUSE_MS)).await;
        }
        log::warn!("some routers do not reach every sidecar yet");
    }
}

fn free_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Default for SiteSettings {
    fn default() -> Self {
        let engine = simulated_engine::Settings {
            model: "small".into(),
            ..simulated_engine::Settings::default()
        };
        let service = plain_service::Settings::default();
        Self {
            callers_listen: free_port(),
            routers: 1,
            zones: 1,
            engines: vec![("small".into(), engine.clone()), ("small".into(), engine)],
            services: vec![
                ("lookup".into(), service.clone()),
                ("notices".into(), service),
            ],
            log: log_service::Settings::default(),
            configuration: example_configuration(),
            timing: PeerTiming::default(),
            router_tuning: RouterTuning::default(),
            sidecar_tuning: SidecarTuning::default(),
        }
    }
}
