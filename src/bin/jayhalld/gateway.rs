//! `jayhalld --gateway`: runs a gateway on the users' platform.

use std::process::ExitCode;
use std::sync::Arc;

use eyre::{Result, WrapErr};
use jayhall::node::{Gateway, Platform};
use jayhall::ops::gateway::dialect::Duties;
use jayhall::platform::{CloudDuties, PlatformDialect, PlatformStore, PlatformStoreConfig};
use jayhall::sources::store::CallRate;
use jayhall::util::settings::GatewaySettings;
use jayhall::util::{logs, metrics};
use tokio::signal::unix::{SignalKind, signal};

/// Rate limit of one node for its calls to the store. The burst covers the calls at startup.
const STORE_CALL_RATE: CallRate = CallRate {
    per_second: 12.0,
    burst: 24,
};

/// Runs a gateway until the process receives SIGTERM or SIGINT.
pub(crate) fn run(path: &str, check_only: bool) -> Result<ExitCode> {
    let settings = GatewaySettings::open(path)?;
    if check_only {
        println!("{path}: no mistakes");
        return Ok(ExitCode::SUCCESS);
    }
    let _log_guard = logs::init_stdout(&settings.log)?;
    let metrics = metrics::install()?;
    let control = super::spawn_control_runtime()?;
    let traffic = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the thread for traffic")?;
    traffic.block_on(async {
        let platform = Platform {
            dialect: Arc::new(PlatformDialect),
            store: Arc::new(PlatformStore::new(&PlatformStoreConfig {
                base: settings.store.clone(),
                calls: STORE_CALL_RATE,
            })),
            duties: duties(&settings.cloud),
        };
        let settings_watch = tokio::spawn(log_settings_changes(path.to_owned(), settings.clone()));
        let gateway = Gateway::spawn(settings, platform, &control, metrics).await?;
        super::shutdown_signal().await;
        settings_watch.abort();
        gateway.leave().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn duties(cloud: &str) -> Option<Arc<dyn Duties>> {
    match cloud {
        "" => None,
        cloud => Some(Arc::new(CloudDuties::new(cloud))),
    }
}

/// Reads the settings again on SIGHUP and logs whether they changed. No setting can change in a running
/// process; configuration that operators change while nodes run is in the store.
async fn log_settings_changes(path: String, mut current: GatewaySettings) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(e) => {
            tracing::warn!(error = %e, "cannot install the SIGHUP handler; changes of the settings will not be logged");
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match GatewaySettings::open(&path) {
            Ok(settings) if settings == current => tracing::info!("reload: settings unchanged"),
            Ok(settings) => {
                tracing::info!("reload: settings changed; they are in force from the next start");
                current = settings;
            }
            Err(e) => tracing::error!(error = %e, "reload: settings cannot be used"),
        }
    }
}
