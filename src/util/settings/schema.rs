//! Schema of a node's settings.

use crate::util::schema::{KeySpec, Kind, SectionSpec};

/// Identity of the node.
pub const NODE: SectionSpec = SectionSpec {
    kind: "node",
    is_named: false,
    keys: &[
        KeySpec::optional("name", Kind::Name, "", "name for people"),
        KeySpec::required("vm", Kind::Name, "VM in the platform's list"),
        KeySpec::required("region", Kind::Name, "region of the VM"),
        KeySpec::required("zone", Kind::Name, "availability zone of the VM"),
    ],
};

/// Listen addresses of the node.
pub const LISTEN: SectionSpec = SectionSpec {
    kind: "listen",
    is_named: false,
    keys: &[
        KeySpec::required("callers", Kind::Address, "address for callers"),
        KeySpec::required("operators", Kind::Address, "address for operators"),
        KeySpec::required("peers", Kind::Address, "address for other nodes"),
    ],
};

/// URLs of the platform.
pub const PLATFORM: SectionSpec = SectionSpec {
    kind: "platform",
    is_named: false,
    keys: &[
        KeySpec::required("store", Kind::Url, "key-value store"),
        KeySpec::required("cloud", Kind::Url, "cloud API"),
        KeySpec::required("list", Kind::Url, "list of VMs"),
        KeySpec::required("weights", Kind::Url, "weight store"),
    ],
};

/// TLS files for connections between nodes.
pub const TLS: SectionSpec = SectionSpec {
    kind: "tls",
    is_named: false,
    keys: &[
        KeySpec::required("certificate", Kind::Path, "certificate of the node"),
        KeySpec::required("key", Kind::Path, "private key of the node"),
        KeySpec::required("authority", Kind::Path, "certificate of the authority"),
    ],
};

/// Keys with which operators sign in.
pub const OPERATORS: SectionSpec = SectionSpec {
    kind: "operators",
    is_named: false,
    keys: &[KeySpec::optional(
        "key_hashes",
        Kind::Hashes,
        "",
        "hashes of the operators' keys",
    )],
};

/// Log output.
pub const LOG: SectionSpec = SectionSpec {
    kind: "log",
    is_named: false,
    keys: &[
        KeySpec::optional(
            "format",
            Kind::Choice(&["text", "json"]),
            "text",
            "form of the lines",
        ),
        KeySpec::optional(
            "filter",
            Kind::Text,
            "info",
            "filter in the form of tracing",
        ),
    ],
};

/// Management of back ends.
pub const FLEET: SectionSpec = SectionSpec {
    kind: "fleet",
    is_named: false,
    keys: &[KeySpec::optional(
        "keep",
        Kind::YesNo,
        "no",
        "whether the node may start and stop VMs and give orders to engines",
    )],
};

/// All sections of a node's settings.
pub const SECTIONS: [&SectionSpec; 7] = [&NODE, &LISTEN, &PLATFORM, &TLS, &OPERATORS, &FLEET, &LOG];
