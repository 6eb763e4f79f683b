//! Settings file of a gateway started by a test or the soak test.

use std::net::SocketAddr;

/// Settings that differ between the gateways of a run.
#[derive(Clone, Copy, Debug)]
pub struct GatewaySettingsText<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Region of the node.
    pub region: &'a str,
    /// Availability zone of the node.
    pub zone: &'a str,
    /// Listen addresses: callers, readiness probe, directory, control requests from other nodes, and peer
    /// datagrams.
    pub listen: [SocketAddr; 5],
    /// All availability zones with their regions, in the format of the settings file.
    pub regions: &'a str,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Contents of the `[bounds]` section.
    pub bounds: &'a str,
}

impl GatewaySettingsText<'_> {
    /// Returns the contents of the settings file.
    pub fn render(&self) -> String {
        let Self {
            name,
            region,
            zone,
            listen: [callers, readiness, directory, control, peers],
            regions,
            store,
            cloud,
            bounds,
        } = self;
        format!(
            "[node]\nvm = {name}\nregion = {region}\nzone = {zone}\n\n\
             [gateway]\ncallers = {callers}\nreadiness = {readiness}\ndirectory = {directory}\n\
             control = {control}\npeers = {peers}\nregions = {regions}\n\
             store = http://{store}\ncloud = http://{cloud}\n\n\
             [bounds]\n{bounds}\n\
             [log]\nformat = json\nfilter = info\n"
        )
    }
}
