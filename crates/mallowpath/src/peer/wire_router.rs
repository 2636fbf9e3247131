//! Messages between routers about themselves.

/// Reports the load of a router's host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HostLoadReport {
    /// The router.
    #[prost(string, tag = "1")]
    pub router: String,
    /// Whether it takes no new connections.
    #[prost(bool, tag = "2")]
    pub is_out: bool,
    /// The bits per second on its link, in the direction that has more.
    #[prost(uint64, tag = "3")]
    pub used_bits_per_s: u64,
    /// The used thousandths of a processor core; missing if the router does not measure that.
    #[prost(uint64, optional, tag = "4")]
    pub used_millicores: Option<u64>,
}
