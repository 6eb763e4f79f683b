//! Schema of a node's settings.

use crate::util::schema::{KeySpec, SectionSpec, ValueKind};

/// Identity of the node.
pub const NODE: SectionSpec = SectionSpec {
    kind: "node",
    is_named: false,
    keys: &[
        KeySpec::optional("name", ValueKind::Name, "", "name for people"),
        KeySpec::required("vm", ValueKind::Name, "VM in the platform's list"),
        KeySpec::required("region", ValueKind::Name, "region of the VM"),
        KeySpec::required("zone", ValueKind::Name, "availability zone of the VM"),
    ],
};

/// Listen addresses of the node.
pub const LISTEN: SectionSpec = SectionSpec {
    kind: "listen",
    is_named: false,
    keys: &[
        KeySpec::required("callers", ValueKind::Address, "address for callers"),
        KeySpec::required("operators", ValueKind::Address, "address for operators"),
        KeySpec::required("peers", ValueKind::Address, "address for other nodes"),
    ],
};

/// URLs of the platform.
pub const PLATFORM: SectionSpec = SectionSpec {
    kind: "platform",
    is_named: false,
    keys: &[
        KeySpec::required("store", ValueKind::Url, "key-value store"),
        KeySpec::required("cloud", ValueKind::Url, "cloud API"),
        KeySpec::required("list", ValueKind::Url, "list of VMs"),
        KeySpec::required("weights", ValueKind::Url, "weight store"),
    ],
};

/// TLS files for connections between nodes.
pub const TLS: SectionSpec = SectionSpec {
    kind: "tls",
    is_named: false,
    keys: &[
        KeySpec::required("certificate", ValueKind::Path, "certificate of the node"),
        KeySpec::required("key", ValueKind::Path, "private key of the node"),
        KeySpec::required("authority", ValueKind::Path, "certificate of the authority"),
    ],
};

/// Keys with which operators sign in.
pub const OPERATORS: SectionSpec = SectionSpec {
    kind: "operators",
    is_named: false,
    keys: &[KeySpec::optional(
        "key_hashes",
        ValueKind::Hashes,
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
            ValueKind::Choice(&["text", "json"]),
            "text",
            "form of the lines",
        ),
        KeySpec::optional(
            "filter",
            ValueKind::Text,
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
        ValueKind::YesNo,
        "no",
        "whether the node may start and stop VMs and give orders to engines",
    )],
};

/// All sections of a node's settings.
pub const SECTIONS: [&SectionSpec; 7] = [&NODE, &LISTEN, &PLATFORM, &TLS, &OPERATORS, &FLEET, &LOG];
