//! The small deployment that the cases share: its configuration, folder and headers.

use std::path::PathBuf;

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";
pub const TENANT: &str = "hule930";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const ZONES: [(&str, &str); 3] = [
    ("addis-bole", "addis"),
    ("hawassa-lake", "hawassa"),
    ("addis-merkato", "addis"),
];

/// Configuration with a resumable streaming route, an unsafe and a safe one, with the figures of
/// `sites/bucket-guild.toml`.
pub fn config(version: u64) -> String {
    config_with(version, 64, 631_747)
}

/// The configuration with engines of this many slots and tokens of memory.
pub fn config_with(version: u64, slots: u64, kv_tokens: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"shop","hostname":"{HOST}","pathPrefix":"/shop/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"advisor","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":300}},
{{"name":"contract","hostname":"{HOST}","pathPrefix":"/contract/","routeType":"streaming","timeoutMs":12000,"targetLatencyMs":1000,"priority":1,"service":"advisor","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":300}},
{{"name":"place","hostname":"{HOST}","pathPrefix":"/place/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"orders","maxAttempts":1,"public":false}},
{{"name":"look","hostname":"{HOST}","pathPrefix":"/look/","routeType":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"orders","maxAttempts":2,"public":false}}],
"services":[{{"name":"advisor","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":{slots},"kvCapacity":{kv_tokens},"tokenKvBytes":163840,"models":[{{"name":"m"}}]}}}},
{{"name":"orders","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"]}}]}}"#
    )
}

/// Creates a folder for the settings and logs of this run.
pub fn folder() -> PathBuf {
    let dir = path();
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}

/// Removes the folder of this run.
pub fn remove_folder() {
    let _ = std::fs::remove_dir_all(path());
}

fn path() -> PathBuf {
    std::env::temp_dir().join(format!("drive-2-{}", std::process::id()))
}

/// Headers of a request.
pub fn headers(attempt: &str, deadline_ms: u64) -> Vec<(String, String)> {
    vec![
        ("Host".into(), HOST.into()),
        ("X-Jayhall-Attempt-Id".into(), attempt.into()),
        ("X-Jayhall-Deadline-Ms".into(), deadline_ms.to_string()),
        ("Authorization".into(), format!("Bearer {KEY}")),
    ]
}
