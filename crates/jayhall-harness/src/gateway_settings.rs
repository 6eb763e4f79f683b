//! Settings of a gateway that a test or a soak starts.

use std::net::SocketAddr;

/// What differs between the gateways of a run.
#[derive(Clone, Copy, Debug)]
pub struct GatewaySettingsText<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Where it listens: for callers, for checks of readiness, for questions where to connect, for other
    /// nodes' requests and for their datagrams.
    pub listen: [SocketAddr; 5],
    /// All availability zones with their regions, as the settings write them.
    pub regions: &'a str,
    /// The store.
    pub store: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
    /// Lines of the section of bounds.
    pub bounds: &'a str,
}

impl GatewaySettingsText<'_> {
    /// Returns the settings as text.
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
